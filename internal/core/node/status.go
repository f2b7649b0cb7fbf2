package node

import (
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// Status returns a snapshot of the state for operators.
func (s State) Status(now time.Time) effect.NodeStatus {
	self := s.membership.Self()
	return effect.NodeStatus{
		Node:              self.Node,
		AvailabilityZone:  self.AvailabilityZone,
		Incarnation:       self.Incarnation,
		Revision:          s.Revision(),
		NewestRevision:    s.tables.NewestRevision(),
		PlatformReachable: s.tables.PlatformReachable(),
		Epoch:             s.epoch.Current(),
		Unread:            s.tables.Current().Unread,
		Accounts:          s.tables.Accounts().Len(),
		UnusableAccounts:  s.tables.Current().UnusableAccounts,
		Draining:          s.shutdown.inProgress(),
		InFlight:          s.attempts.InFlight() + s.admission.InFlight() + s.usage.Waiting(),
		Services:          s.serviceStatuses(),
		Targets:           s.targetStatuses(now),
		Members:           s.membership.Members(),
		Quarantined:       s.quarantine.Status(now),
		RateLimits:        s.usage.Status(now),
		Waiting:           s.usage.Waiting(),
	}
}

func (s State) serviceStatuses() []effect.ServiceStatus {
	current := s.tables.Current()
	services := make([]effect.ServiceStatus, 0, current.Pools.Len())
	for name, pool := range current.Pools.All() {
		candidates := s.membership.Directory().Candidates(name)
		services = append(services, effect.ServiceStatus{
			Service:   pool.Service,
			Pool:      name,
			Floor:     pool.Floor,
			Known:     len(candidates),
			InService: inServiceCount(candidates),
		})
	}
	return services
}

func inServiceCount(candidates []fleet.Candidate) int {
	count := 0
	for _, c := range candidates {
		if !c.Target.Ejected {
			count++
		}
	}
	return count
}

func (s State) targetStatuses(now time.Time) []effect.TargetStatus {
	targets := s.admission.Targets()
	statuses := make([]effect.TargetStatus, 0, len(targets))
	for _, t := range targets {
		t.Ejected = s.ejection.Ejected(now, t.ID)
		evidence := s.detection.Evidence(t.ID)
		wait, mean := s.admission.Cost(now, t.ID)
		statuses = append(statuses, effect.TargetStatus{
			Target:   t,
			Load:     s.admission.Load(t.ID),
			Judged:   evidence.Samples,
			Bad:      evidence.BadSamples,
			Score:    evidence.Score,
			Baseline: evidence.Baseline,

			ExpectedWait: wait, MeanTime: mean,
		})
	}
	return statuses
}
