package main

import (
	"context"
	"net/http"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/edge/platform"
	"jayfold.dev/jayfold/internal/process/tablesedit"
)

// tablesCommand groups the commands for the routes and pools tables.
type tablesCommand struct {
	Check checkCommand `cmd:"" help:"Check the two files and report every problem."`
	Show  showCommand  `cmd:"" help:"Print the tables on the platform."`
	Diff  diffCommand  `cmd:"" help:"Print the changes that applying the two files would make."`
	Apply applyCommand `cmd:"" help:"Apply the two files to the platform, from which every node loads them."`
}

type filesFlags struct {
	Routes string `required:"" placeholder:"FILE" help:"Routes file, JSON with comments."`
	Pools  string `required:"" placeholder:"FILE" help:"Pools file, JSON with comments."`
}

func (f filesFlags) paths() tablesedit.Paths {
	return tablesedit.Paths{Routes: f.Routes, Pools: f.Pools}
}

type platformFlags struct {
	Platform string `required:"" placeholder:"URL" help:"URL of the platform's object API."`
}

// withEditor calls command with an editor for the tables on the platform. SIGINT and SIGTERM cancel its context.
func (f platformFlags) withEditor(k *kong.Context, command func(context.Context, tablesedit.Editor) error) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	client := platform.New(platform.Seams{Store: platform.NewStore(f.Platform, &http.Client{})})
	defer client.Close()
	return command(ctx, tablesedit.New(client, k.Stdout))
}

type checkCommand struct{ filesFlags }

// Run checks the files.
func (c checkCommand) Run(k *kong.Context) error { return tablesedit.Check(c.paths(), k.Stdout) }

type showCommand struct{ platformFlags }

// Run prints the tables on the platform.
func (c showCommand) Run(k *kong.Context) error {
	return c.withEditor(k, func(ctx context.Context, e tablesedit.Editor) error { return e.Show(ctx) })
}

type diffCommand struct {
	filesFlags
	platformFlags
}

// Run compares the files with the tables on the platform.
func (c diffCommand) Run(k *kong.Context) error {
	return c.withEditor(k, func(ctx context.Context, e tablesedit.Editor) error { return e.Diff(ctx, c.paths()) })
}

type applyCommand struct {
	filesFlags
	platformFlags
	Expect *uint64 `placeholder:"REVISION" help:"Revision that the files are based on, as printed by show. Default: the newest."`
}

// Run applies the files.
func (c applyCommand) Run(k *kong.Context) error {
	expected := tablesedit.Newest
	if c.Expect != nil {
		expected = fleet.Revision(*c.Expect)
	}
	return c.withEditor(k, func(ctx context.Context, e tablesedit.Editor) error { return e.Apply(ctx, c.paths(), expected) })
}
