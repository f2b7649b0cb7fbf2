package peer

import (
	"errors"
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/message"
)

type wireCrashSuspicion struct {
	Fingerprint uint64
	Targets     []string
	Remaining   time.Duration
	Cleared     bool
}

type wireCrashSuspicions struct {
	Suspicions []wireCrashSuspicion
}

var errInvalidCrashSuspicion = errors.New("a crash suspicion has a missing or oversized name or a negative duration")

func crashSuspicionsToWire(m message.CrashSuspicions) wireCrashSuspicions {
	return wireCrashSuspicions{Suspicions: convertAll(m.Suspicions, crashSuspicionToWire)}
}

func crashSuspicionsFromWire(w wireCrashSuspicions) (message.CrashSuspicions, error) {
	suspicions, err := convertAllChecked(w.Suspicions, crashSuspicionFromWire)
	return message.CrashSuspicions{Suspicions: suspicions}, err
}

func crashSuspicionToWire(s fleet.CrashSuspicion) wireCrashSuspicion {
	return wireCrashSuspicion{
		Fingerprint: uint64(s.Fingerprint),
		Targets:     convertAll(s.Targets, func(id fleet.TargetID) string { return string(id) }),
		Remaining:   s.Remaining,
		Cleared:     s.Cleared,
	}
}

func crashSuspicionFromWire(w wireCrashSuspicion) (fleet.CrashSuspicion, error) {
	targets, err := convertAllChecked(w.Targets, func(name string) (fleet.TargetID, error) {
		if !validName(name) {
			return "", errInvalidCrashSuspicion
		}
		return fleet.TargetID(name), nil
	})
	if err == nil && w.Remaining < 0 {
		err = errInvalidCrashSuspicion
	}
	return fleet.CrashSuspicion{
		Fingerprint: fleet.Fingerprint(w.Fingerprint),
		Targets:     targets,
		Remaining:   w.Remaining,
		Cleared:     w.Cleared,
	}, err
}
