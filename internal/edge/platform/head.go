package platform

import (
	"encoding/json"
	"fmt"
	"regexp"

	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/edge/tablesfile"
)

// HeadKey is the key of the head object, which holds the number of the newest revision and the names of its chunks.
const HeadKey = "tables/head"

// EncodeHead returns the value of a head object that contains the encoded tables directly instead of in chunks. A Store for
// an API that has the tables in another format returns this value for HeadKey.
func EncodeHead(tables fleet.Tables) []byte {
	// Every value of the wire types can be encoded.
	value, _ := json.Marshal(wireHead{Revision: tables.Revision, Content: tablesfile.Encode(tables)})
	return value
}

const (
	// chunkPrefix is the prefix of the keys of chunks. The name of the chunk follows: its SHA-256 sum in hexadecimal.
	chunkPrefix = "tables/chunk/"
	// maxChunks bounds the number of chunks of one revision: one for routes and pools, which take 52 KB at the design size, and one for each
	// of the 16 parts with accounts, which take 51 KB each, with room for parts of more than one chunk.
	maxChunks = 48
	// maxEarlier bounds the number of earlier changes in the head. A writer whose response was lost looks for its change id
	// there, since another writer may have replaced the head in the meantime.
	maxEarlier = 16
	// epochGap is added to the revision of the first change in an epoch, for each epoch since that of the head, so that no revision that the
	// platform has lost is given out again for other content. A platform loses the writes of some seconds, of several hundred a second,
	// and a change takes at least two.
	epochGap = 1000
)

// wireHead is the value of the head object.
type wireHead struct {
	Revision fleet.Revision
	// Epoch is that of the platform's data when the revision was first written.
	Epoch fleet.Epoch `json:",omitempty"`
	// Chunks lists the names of the chunks, in the order of their content.
	Chunks []string `json:",omitempty"`
	// Content is the encoded tables in place of chunks, for a Store whose API has the tables in another format.
	Content  []byte `json:",omitempty"`
	ChangeID string `json:",omitempty"`
	// Earlier lists the changes before this one, the latest first.
	Earlier []wireChange `json:",omitempty"`
}

// wireChange is an earlier value of the head.
type wireChange struct {
	Revision fleet.Revision
	ChangeID string
	// Chunks lists the chunks that may still exist on the platform.
	Chunks []string `json:",omitempty"`
}

var chunkNamePattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

func decodeHead(value []byte) (wireHead, error) {
	var h wireHead
	if err := json.Unmarshal(value, &h); err != nil {
		return wireHead{}, fmt.Errorf("the value of %s does not decode: %w", HeadKey, err)
	}
	if h.Revision >= 1 && len(h.Content) > 0 && len(h.Chunks) == 0 {
		return h, nil
	}
	if h.Revision < 1 || len(h.Chunks) < 1 || len(h.Chunks) > maxChunks {
		return wireHead{}, fmt.Errorf("the value of %s has revision %d and %d chunks; want at least 1 and 1 to %d",
			HeadKey, h.Revision, len(h.Chunks), maxChunks)
	}
	for _, name := range h.Chunks {
		if !chunkNamePattern.MatchString(name) {
			return wireHead{}, fmt.Errorf("the value of %s names chunk %q; want a SHA-256 sum", HeadKey, name)
		}
	}
	return h, nil
}

// tablesHead converts the head to the type that the core packages use.
func (h wireHead) tablesHead() fleet.TablesHead {
	return fleet.TablesHead{Revision: h.Revision, Chunks: h.Chunks, Content: h.Content}
}

// revisionOf returns the revision that a change created, if the head or an earlier change has its id.
func (h wireHead) revisionOf(changeID string) (fleet.Revision, bool) {
	if h.ChangeID == changeID {
		return h.Revision, true
	}
	for _, change := range h.Earlier {
		if change.ChangeID == changeID {
			return change.Revision, true
		}
	}
	return 0, false
}

// nextRevision returns the revision of the next change, if it is made in an epoch. A head that names no epoch counts as of the first one.
func (h wireHead) nextRevision(e fleet.Epoch) fleet.Revision {
	next, written := h.Revision+1, max(h.Epoch, fleet.FirstEpoch)
	switch {
	case e > written:
		return next + epochGap*fleet.Revision(e-written)
	case e.Differs(written):
		return next + epochGap
	default:
		return next
	}
}

// next returns the head of a later revision that is written in an epoch, which may be unknown.
func (h wireHead) next(revision fleet.Revision, e fleet.Epoch, chunks []string, changeID string) wireHead {
	earlier := h.Earlier
	if h.Revision > 0 {
		earlier = append([]wireChange{{Revision: h.Revision, ChangeID: h.ChangeID, Chunks: h.Chunks}}, earlier...)
	}
	if e == 0 {
		e = h.Epoch
	}
	return wireHead{
		Revision: revision,
		Epoch:    e,
		Chunks:   chunks,
		ChangeID: changeID,
		Earlier:  earlier[:min(len(earlier), maxEarlier)],
	}
}
