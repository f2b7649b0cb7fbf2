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
	// maxChunks bounds the number of chunks of one revision. They hold 4 MiB, about eighty times the 52 KB of the design size.
	maxChunks = 16
	// maxEarlier bounds the number of earlier changes in the head. A writer whose response was lost looks for its change id
	// there, since another writer may have replaced the head in the meantime.
	maxEarlier = 16
)

// wireHead is the value of the head object.
type wireHead struct {
	Revision fleet.Revision
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

// next returns the head of the next revision.
func (h wireHead) next(chunks []string, changeID string) wireHead {
	earlier := h.Earlier
	if h.Revision > 0 {
		earlier = append([]wireChange{{Revision: h.Revision, ChangeID: h.ChangeID, Chunks: h.Chunks}}, earlier...)
	}
	return wireHead{
		Revision: h.Revision + 1,
		Chunks:   chunks,
		ChangeID: changeID,
		Earlier:  earlier[:min(len(earlier), maxEarlier)],
	}
}
