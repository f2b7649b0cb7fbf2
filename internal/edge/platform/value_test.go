package platform

import (
	"testing"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// FuzzHead guards against a head object that panics the decoder, and against one that is accepted without chunks and without
// content.
func FuzzHead(f *testing.F) {
	sum := "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"
	for _, seed := range []string{
		"", "null", `{"Revision": 1}`, `{"Revision": 1, "Chunks": ["` + sum + `"], "ChangeID": "x"}`,
		`{"Revision": 2, "Chunks": ["../members/n1"], "Earlier": [{"Revision": 1, "Chunks": null}]}`,
		`{"Revision": 1, "Content": "eA=="}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		head, err := decodeHead(value)
		if err != nil {
			return
		}
		if head.Revision == 0 || len(head.Chunks) == 0 && len(head.Content) == 0 {
			t.Fatalf("accepted %+v", head)
		}
		if next := head.next(head.nextRevision(0), 0, head.Chunks, "change"); next.Revision != head.Revision+1 || len(next.Earlier) > maxEarlier {
			t.Fatalf("the head after %+v is %+v", head, next)
		}
	})
}

// FuzzMember guards against a member record that panics the decoder, and against one with targets of another node.
func FuzzMember(f *testing.F) {
	member := fleet.Member{Node: "n1", Status: fleet.Leaving, Targets: []fleet.Target{{ID: "n1/t1", Pool: "p", Slots: 4}}}
	f.Add(encodeMember(member))
	f.Add([]byte("{}"))
	f.Add([]byte(`{"Node": "n1", "Status": "Alive", "Targets": [{"ID": "n2/t1", "State": "Ready"}]}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		m, err := decodeMember("n1", value)
		if err != nil {
			return
		}
		if m.Node != "n1" {
			t.Fatalf("accepted a record of %q as one of n1", m.Node)
		}
		for _, target := range m.Targets {
			if target.ID.Node() != "n1" || target.Slots < 0 {
				t.Fatalf("accepted target %+v", target)
			}
		}
	})
}
