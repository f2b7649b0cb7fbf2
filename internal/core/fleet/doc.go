// Package fleet holds the value types that every other package shares: identifiers, request classes, verdicts, problems,
// routes, pools, members, targets and their load.
//
// # Usage
//
// Values are immutable. A change goes through a With method, which returns a copy:
//
//	leaving := member.WithStatus(fleet.Leaving)
//
// Collections that grow with the fleet are Maps, whose changes share structure with the value they came from:
//
//	targets = targets.With(target.ID, target)
//	for id, target := range targets.All() { ... }
//
// The zero values of Map, Set and Option are empty and ready to use.
package fleet
