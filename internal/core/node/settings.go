package node

import (
	"strings"
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// DefaultSettings returns the settings that apply unless the operator sets others. The retry budget allows retries for a
// tenth of a pool's requests, plus 60 within 10 s. The stop grace covers the longest deadline of a route.
func DefaultSettings() fleet.Settings {
	return fleet.Settings{
		RetryBudget:       fleet.RetryBudget{Ratio: 0.1, Window: 10 * time.Second, Slack: 60},
		HeartbeatInterval: time.Second,
		StopGrace:         75 * time.Second,
		LogLevel:          "info",
		Placement:         fleet.PlacementByCount,
		Limits: fleet.Limits{
			HeaderBytes:   64 << 10,
			BodyBytes:     1 << 20,
			HeaderTimeout: 5 * time.Second,
		},
	}
}

// settingsReloaded brings settings into force. The retry budget applies to requests in flight as well, while the limits apply
// only to requests that arrive from now on. A shutdown in progress keeps its stop grace.
func (s State) settingsReloaded(body event.SettingsReloaded) (State, []effect.Effect) {
	s.admission = s.admission.WithSettings(body.Settings)
	s.attempts = s.attempts.WithPlacement(body.Settings.Placement)
	s.shutdown = s.shutdown.withGrace(body.Settings.StopGrace)
	s = s.withMeteredZones(body.Settings.MeteredZones)
	line := effect.WriteLog{Level: effect.Info, Component: "settings", Message: "taken in", Fields: []effect.LogField{
		{Name: "Cause", Value: body.Cause},
		{Name: "Changed", Value: strings.Join(body.Changed, " ")},
	}}
	if len(body.NextStart) > 0 {
		line.Level = effect.Warn
		line.Fields = append(line.Fields, effect.LogField{Name: "NextStart", Value: strings.Join(body.NextStart, " ")})
	}
	return s, []effect.Effect{effect.SetSettings{Settings: body.Settings}, line}
}

// settingsRejected logs the problem; the settings in force remain.
func (s State) settingsRejected(body event.SettingsRejected) (State, []effect.Effect) {
	return s, []effect.Effect{effect.WriteLog{
		Level: effect.Error, Component: "settings", Message: "rejected, those in force stay", Fields: []effect.LogField{
			{Name: "Cause", Value: body.Cause},
			{Name: "Error", Value: body.Detail},
		},
	}}
}

// withMeteredZones returns the state with the components told whether bytes between availability zones are expensive.
func (s State) withMeteredZones(metered bool) State {
	s.meteredZones = metered
	s.attempts = s.attempts.WithMeteredZones(metered)
	s.membership = new(s.membership.WithMeteredZones(metered))
	return s
}
