package node

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/fx"
)

// Run runs a node until SIGTERM or SIGINT and stops it gracefully.
func Run(app *fx.App) error {
	if err := app.Err(); err != nil {
		return err
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
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
