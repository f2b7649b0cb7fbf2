// Package tablesedit implements the operator commands that check, show, compare and apply the tables.
//
// # Usage
//
//	editor := tablesedit.New(client, os.Stdout)
//	err := editor.Apply(ctx, tablesedit.Paths{Routes: "routes.jsonc", Pools: "pools.jsonc"}, tablesedit.Newest)
//
// Errors are configfile.Problems or *fs.PathError if a file cannot be used, and platform.RevisionConflict if the tables have
// changed since the expected revision. Any other error means that the command failed.
package tablesedit

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"os"

	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/edge/platform"
	"jayfold.dev/jayfold/internal/edge/tablesfile"
)

// Paths are the paths of the two tables files.
type Paths struct {
	Routes string
	Pools  string
}

// Newest stands for the newest revision on the platform when the command starts.
const Newest = fleet.Revision(1<<64 - 1)

// Editor runs the commands that read or write the tables on the platform.
type Editor struct {
	client   *platform.Client
	out      io.Writer
	changeID func() string
}

// New returns an editor that writes its output to out.
func New(client *platform.Client, out io.Writer) Editor {
	return Editor{client: client, out: out, changeID: rand.Text}
}

// Load reads and checks the two tables files.
func Load(paths Paths) (fleet.Tables, error) {
	routes, routesErr := os.ReadFile(paths.Routes)
	pools, poolsErr := os.ReadFile(paths.Pools)
	if err := errors.Join(routesErr, poolsErr); err != nil {
		return fleet.Tables{}, err
	}
	return tablesfile.Parse(
		tablesfile.File{Name: paths.Routes, Content: routes},
		tablesfile.File{Name: paths.Pools, Content: pools},
	)
}

// Check validates the files and prints the number of routes and pools. The error lists every problem.
func Check(paths Paths, out io.Writer) error {
	t, err := Load(paths)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%d routes and %d pools are valid\n", len(t.Routes), t.Pools.Len())
	return err
}

// Show prints the newest revision in the format of the two files.
func (e Editor) Show(ctx context.Context) error {
	t, err := e.client.ReadTables(ctx)
	if err != nil {
		return err
	}
	routes, pools := tablesfile.Render(t)
	_, err = fmt.Fprintf(e.out, "// revision %d\n\n// routes\n%s\n// pools\n%s", t.Revision, routes, pools)
	return err
}

// Diff prints the changes that applying the files would make.
func (e Editor) Diff(ctx context.Context, paths Paths) error {
	wanted, err := Load(paths)
	if err != nil {
		return err
	}
	current, err := e.client.ReadTables(ctx)
	if err != nil {
		return err
	}
	return e.printDiff(current, wanted)
}

// Apply writes the files to the platform as the revision after expected. It writes nothing if they change nothing. On a conflict
// it prints the changes that the files would make to the newest revision.
func (e Editor) Apply(ctx context.Context, paths Paths, expected fleet.Revision) error {
	wanted, err := Load(paths)
	if err != nil {
		return err
	}
	current, err := e.readForApply(ctx, expected)
	if err != nil {
		return err
	}
	if expected == Newest {
		expected = current.Revision
	}
	if current.Revision != expected {
		return errors.Join(platform.RevisionConflict{Expected: expected, Found: current.Revision}, e.printDiff(current, wanted))
	}
	if len(tablesfile.Diff(current, wanted)) == 0 && current.Pools.Len() > 0 {
		return e.printDiff(current, wanted)
	}
	if err := e.warnFloors(ctx, wanted); err != nil {
		return err
	}
	revision, err := e.client.ApplyTables(ctx, wanted, expected, e.changeID())
	var conflict platform.RevisionConflict
	if errors.As(err, &conflict) {
		return errors.Join(err, e.Diff(ctx, paths))
	}
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(e.out, "revision %d is accepted\n", revision)
	return err
}

// readForApply reads the newest revision. A corrupt one is treated as empty, so that Apply can replace it. If the head does not
// decode either, the newest revision is not known, and expected must name it.
func (e Editor) readForApply(ctx context.Context, expected fleet.Revision) (fleet.Tables, error) {
	current, err := e.client.ReadTables(ctx)
	var corrupt platform.CorruptTables
	if !errors.As(err, &corrupt) {
		return current, err
	}
	if corrupt.Revision == 0 {
		if expected == Newest {
			return fleet.Tables{}, fmt.Errorf("%w; apply again and expect the highest revision in the status of the nodes", err)
		}
		corrupt.Revision = expected
	}
	_, err = fmt.Fprintf(e.out, "warning: %v\n", corrupt)
	return fleet.Tables{Revision: corrupt.Revision}, err
}

func (e Editor) printDiff(from, to fleet.Tables) error {
	changes := tablesfile.Diff(from, to)
	if len(changes) == 0 {
		_, err := fmt.Fprintf(e.out, "no change to revision %d\n", from.Revision)
		return err
	}
	for _, change := range changes {
		if _, err := fmt.Fprintln(e.out, change); err != nil {
			return err
		}
	}
	return nil
}

// warnFloors prints a warning for each pool whose floor exceeds the number of targets that nodes have registered. Such a pool
// is accepted, since targets may be added later; until then no target of the pool is ejected.
func (e Editor) warnFloors(ctx context.Context, t fleet.Tables) error {
	counts, err := e.client.CountTargets(ctx)
	if err != nil {
		return err
	}
	for name, pool := range t.Pools.All() {
		if counts[name] >= pool.Floor {
			continue
		}
		if _, err := fmt.Fprintf(e.out, "warning: pool %s has a floor of %d and %d known targets; none can be ejected\n",
			name, pool.Floor, counts[name]); err != nil {
			return err
		}
	}
	return nil
}
