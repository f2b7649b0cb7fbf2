package main

import (
	"fmt"
	"runtime/debug"
)

// versionCommand prints the version of the module.
type versionCommand struct{}

// Run prints the version.
func (*versionCommand) Run() error {
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
	}
	_, err := fmt.Println("jayfold", version)
	return err
}
