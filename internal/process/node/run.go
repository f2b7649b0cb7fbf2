package node

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"jayfold.dev/jayfold/internal/process/settings"
)

// Run runs a node with the settings file at path until SIGTERM or SIGINT and stops it gracefully.
func Run(path string, seams func(settings.Settings) Seams) error {
	// From here on SIGHUP does not terminate the process. The settings watcher handles the signal once the node has started.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	s, err := settings.Load(path)
	if err != nil {
		return err
	}
	app := New(s, seams(s))
	if err := app.Err(); err != nil {
		return err
	}
	start, cancel := context.WithTimeout(context.Background(), app.StartTimeout())
	defer cancel()
	if err := app.Start(start); err != nil {
		return err
	}
	<-stop
	end, cancelEnd := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancelEnd()
	return app.Stop(end)
}
