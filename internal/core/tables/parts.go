package tables

import (
	"slices"

	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/message"
)

// WithParts returns the state with the parts of the encoded form of a revision, if that revision is in force. Peers then get only those
// that they lack. Without parts they get the whole content.
func (s State) WithParts(r fleet.Revision, parts []fleet.TablesPart) State {
	if r == s.current.Revision {
		s.parts = parts
	}
	return s
}

// partSums returns what a request tells a peer of the parts of the revision in force; nil if it asks for the whole content.
func (s State) partSums() []fleet.PartSum {
	if len(s.parts) < 2 || s.askWhole {
		return nil
	}
	sums := make([]fleet.PartSum, len(s.parts))
	for i, part := range s.parts {
		sums[i] = part.Sum
	}
	return sums
}

// contentFor returns the reply to a request for tables: the whole content, or its parts without the content of those that the peer has.
func (s State) contentFor(m message.TablesRequest) message.TablesContent {
	if len(m.Parts) == 0 || len(s.parts) < 2 {
		return message.TablesContent{Revision: s.current.Revision, Content: s.content}
	}
	parts := slices.Clone(s.parts)
	for i, part := range parts {
		if slices.Contains(m.Parts, part.Sum) {
			parts[i].Content = nil
		}
	}
	return message.TablesContent{Revision: s.current.Revision, Parts: parts}
}

// joined returns the content of a reply. It returns false if this node lacks a part that the peer has left out, because another revision
// has come into force since the request.
func (s State) joined(m message.TablesContent) ([]byte, bool) {
	if len(m.Parts) == 0 {
		return m.Content, true
	}
	var content []byte
	for _, part := range m.Parts {
		if len(part.Content) == 0 {
			at := slices.IndexFunc(s.parts, func(own fleet.TablesPart) bool { return own.Sum == part.Sum })
			if at < 0 {
				return nil, false
			}
			part = s.parts[at]
		}
		content = append(content, part.Content...)
	}
	return content, true
}
