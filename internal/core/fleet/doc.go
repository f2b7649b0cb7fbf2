// Package fleet holds the value types shared by all other packages: identifiers, requests and attempts, verdicts and
// problems, routes and pools, members, targets and their load.
//
// # Usage
//
// Values are immutable. With methods return a modified copy:
//
//	leaving := member.WithStatus(fleet.Leaving)
//
// Collections that grow with the fleet are persistent Maps and HashMaps; a modified one shares structure with the original:
//
//	targets = targets.With(target.ID, target)
//	for id, target := range targets.All() { ... }
//
// The zero values of Map, HashMap, Set and Option are empty and ready to use.
package fleet
