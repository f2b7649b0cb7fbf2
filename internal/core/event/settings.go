package event

import "jayfold.dev/jayfold/internal/core/fleet"

// SettingsReloaded says that the settings file was read again and is valid.
type SettingsReloaded struct {
	// Cause is what made the node read it, such as SIGHUP.
	Cause    string
	Settings fleet.Settings
	// Changed names the fields that take effect now, NextStart those that have changed and need a new process.
	Changed   []string
	NextStart []string
}

// SettingsRejected says that the settings file was read again and cannot be used.
type SettingsRejected struct {
	Cause string
	// Detail holds every problem of the file.
	Detail string
}

func (SettingsReloaded) isBody() {}
func (SettingsRejected) isBody() {}
