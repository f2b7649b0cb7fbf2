package peer

import (
	"errors"
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/message"
)

type wireSuspicion struct {
	Fingerprint uint64
	Targets     []string
	Remaining   time.Duration
	Cleared     bool
}

type wireSuspicions struct {
	Suspicions []wireSuspicion
}

var errInvalidSuspicion = errors.New("a suspicion has a missing or oversized name or a negative duration")

func suspicionsToWire(m message.CrashSuspicions) wireSuspicions {
	return wireSuspicions{Suspicions: convertAll(m.Suspicions, suspicionToWire)}
}

func suspicionsFromWire(w wireSuspicions) (message.CrashSuspicions, error) {
	suspicions, err := convertAllChecked(w.Suspicions, suspicionFromWire)
	return message.CrashSuspicions{Suspicions: suspicions}, err
}

func suspicionToWire(s fleet.CrashSuspicion) wireSuspicion {
	return wireSuspicion{
		Fingerprint: uint64(s.Fingerprint),
		Targets:     convertAll(s.Targets, func(id fleet.TargetID) string { return string(id) }),
		Remaining:   s.Remaining,
		Cleared:     s.Cleared,
	}
}

func suspicionFromWire(w wireSuspicion) (fleet.CrashSuspicion, error) {
	targets, err := convertAllChecked(w.Targets, func(name string) (fleet.TargetID, error) {
		if !validName(name) {
			return "", errInvalidSuspicion
		}
		return fleet.TargetID(name), nil
	})
	if err == nil && w.Remaining < 0 {
		err = errInvalidSuspicion
	}
	return fleet.CrashSuspicion{
		Fingerprint: fleet.Fingerprint(w.Fingerprint),
		Targets:     targets,
		Remaining:   w.Remaining,
		Cleared:     w.Cleared,
	}, err
}
