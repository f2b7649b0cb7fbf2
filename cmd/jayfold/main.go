// Command jayfold runs a node of the proxy fleet and manages the tables of the fleet.
//
// # Usage
//
//	jayfold node --settings settings.jsonc
//	jayfold tables check|show|diff|apply ...
//	jayfold check-settings settings.jsonc ...
//	jayfold explain ID n1.log n2.log ...
//	jayfold status --node 127.0.0.1:8084
//	jayfold version
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

// commands are the subcommands.
type commands struct {
	Node    nodeCommand          `cmd:"" help:"Run a node."`
	Tables  tablesCommand        `cmd:"" help:"Check, show, compare and apply the routes and pools tables."`
	Check   checkSettingsCommand `cmd:"" name:"check-settings" help:"Check settings files and print every problem."`
	Explain explainCommand       `cmd:"" help:"Trace a request through the logs of nodes."`
	Status  statusCommand        `cmd:"" help:"Print a node's view of the fleet."`
	Version versionCommand       `cmd:"" help:"Print the version."`
}

func main() {
	os.Exit(run(os.Args[1:]))
}

// run parses the arguments, runs the command and returns the exit code.
func run(args []string) int {
	parser, err := kong.New(&commands{}, kong.Name("jayfold"),
		kong.Description("A proxy fleet for targets with gray failures."))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	command, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintln(os.Stderr, "jayfold:", err)
		return exitInvalidInput
	}
	if err := command.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "jayfold:", err)
		return exitCode(err)
	}
	return exitSuccess
}
