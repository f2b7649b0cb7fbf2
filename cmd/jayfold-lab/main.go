// Command jayfold-lab provides stand-ins for the platform and the targets, a load generator, a soak test, a demo, experiments and
// capacity measurements. It is not needed to run jayfold.
//
// # Usage
//
//	jayfold-lab demo
//	jayfold-lab platform --listen 127.0.0.1:7000
//	jayfold-lab soak --seed 1 --minutes 2
//	jayfold-lab target --node 127.0.0.1:8081 --pool catalogue --name t1
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// Exit codes. jayfold uses the same values.
const (
	exitSuccess      = 0
	exitFailure      = 1
	exitInvalidInput = 2
)

// commands are the subcommands.
type commands struct {
	Demo       demoCommand       `cmd:"" help:"Run the platform, three nodes and four services in this process."`
	Platform   platformCommand   `cmd:"" help:"Run a stand-in for the platform's object API."`
	Target     targetCommand     `cmd:"" help:"Run a stand-in target."`
	Load       loadCommand       `cmd:"" help:"Send requests at a fixed rate and check the responses."`
	Experiment experimentCommand `cmd:"" help:"Run an experiment and print its table."`
	Soak       soakCommand       `cmd:"" help:"Run the real programs under random faults and check the guarantees."`
	Capacity   capacityCommand   `cmd:"" help:"Measure what a node costs as the fleet grows."`
}

func main() {
	os.Exit(run(os.Args[1:]))
}

// run parses the arguments, runs the command and returns the exit code.
func run(args []string) int {
	parser, err := kong.New(&commands{}, kong.Name("jayfold-lab"),
		kong.Description("Stand-ins, load and experiments for jayfold."))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	command, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintln(os.Stderr, "jayfold-lab:", err)
		return exitInvalidInput
	}
	if err := command.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "jayfold-lab:", err)
		return exitFailure
	}
	return exitSuccess
}

// signalContext returns a context that is canceled on SIGTERM or SIGINT.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}
