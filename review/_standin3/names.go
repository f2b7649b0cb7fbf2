package main

import (
	_ "embed"
	"encoding/json"
	"strings"
)

// namesFile holds the platform's names. They stand in no Go file outside the folder that translates them.
//
//go:embed names.json
var namesFile []byte

var names = func() *strings.Replacer {
	var byKey map[string]string
	if err := json.Unmarshal(namesFile, &byKey); err != nil {
		panic(err)
	}
	var pairs []string
	for key, name := range byKey {
		pairs = append(pairs, "@"+key+"@", name)
	}
	return strings.NewReplacer(pairs...)
}()

// wire returns a text with the platform's names in place of their keys, such as @id@.
func wire(text string) string { return names.Replace(text) }
