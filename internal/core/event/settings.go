package event

import "jayfold.dev/jayfold/internal/core/fleet"

// SettingsReloaded is posted when the settings file has been reloaded and is valid.
type SettingsReloaded struct {
	// Cause is what triggered the reload, such as SIGHUP.
	Cause    string
	Settings fleet.Settings
	// Changed lists the changed fields that take effect now, NextStart those that take effect after a restart.
	Changed   []string
	NextStart []string
}

// SettingsRejected is posted when the settings file has been reloaded and is invalid.
type SettingsRejected struct {
	Cause string
	// Detail lists all problems of the file.
	Detail string
}

func (SettingsReloaded) isBody() {}
func (SettingsRejected) isBody() {}
