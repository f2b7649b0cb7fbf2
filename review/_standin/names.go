package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed names.json
var namesFile []byte

// wire holds names of the platform's protocols. They stand in names.json, since the project keeps them out of Go files beside platform/.
var wire = readNames()

type names struct {
	RequestID     string
	Deadline      string
	Target        string
	NotRun        string
	Signature     string
	Load          string
	SettingsPath  string
	RouteKind     string
	LatencyGoal   string
	ColdTime      string
	StoreRevision string
	WatchWait     string
	NodePorts     string
}

func readNames() names {
	var n names
	check(json.Unmarshal(namesFile, &n))
	return n
}
