package epoch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/epoch"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// answer is the epoch in an answer of the platform, or in a message of a peer.
type answer struct {
	at       time.Duration
	epoch    fleet.Epoch
	fromPeer bool
	// changed is whether the current epoch changes, want is the current epoch after the answer.
	changed bool
	want    fleet.Epoch
}

// assertEpochs hands answers to a new state and checks the current epoch after each.
func assertEpochs(t *testing.T, answers []answer) {
	t.Helper()
	is := is.New(t)
	start := time.Unix(1000, 0)
	s := epoch.New()
	for _, a := range answers {
		var changed bool
		if a.fromPeer {
			s, changed = s.PeerSeen(start.Add(a.at), a.epoch)
		} else {
			s, changed = s.AnswerSeen(start.Add(a.at), a.epoch)
		}
		is.Equal(changed, a.changed)
		is.Equal(s.Current(), a.want)
	}
}

// TestCurrentEpoch guards against a late answer or a peer that takes a node back to an earlier epoch, and against a node that
// stays in an epoch that the platform has left.
func TestCurrentEpoch(t *testing.T) {
	const s = time.Second
	for name, answers := range map[string][]answer{
		"unknown":        {{epoch: 0, want: 0}, {epoch: 4, changed: true, want: 4}, {epoch: 0, want: 4}},
		"rises twice":    {{epoch: 4, changed: true, want: 4}, {at: s, epoch: 5, changed: true, want: 5}, {at: s, epoch: 6, changed: true, want: 6}},
		"late answer":    {{epoch: 4, changed: true, want: 4}, {epoch: 5, changed: true, want: 5}, {at: 9 * s, epoch: 4, want: 5}},
		"goes back":      {{epoch: 5, changed: true, want: 5}, {at: 11 * s, epoch: 3, changed: true, want: 3}},
		"peer is first":  {{epoch: 5, changed: true, want: 5}, {epoch: 6, fromPeer: true, changed: true, want: 6}, {epoch: 6, want: 6}},
		"peer is behind": {{epoch: 5, changed: true, want: 5}, {at: 60 * s, epoch: 4, fromPeer: true, want: 5}},
		"peer has not gone back": {
			{epoch: 5, changed: true, want: 5}, {at: 11 * s, epoch: 3, changed: true, want: 3}, {at: 12 * s, epoch: 5, fromPeer: true, want: 3},
		},
	} {
		t.Run(name, func(t *testing.T) { assertEpochs(t, answers) })
	}
}
