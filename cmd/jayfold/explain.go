package main

import (
	"fmt"
	"os"

	"jayfold.dev/jayfold/internal/edge/logfile"
)

// explainCommand prints what the logs of nodes contain about one request.
type explainCommand struct {
	ID    string   `arg:"" help:"Id of the request."`
	Files []string `arg:"" type:"path" help:"Log files of nodes, in any order."`
}

// Run prints the trace.
func (c *explainCommand) Run() error {
	var lines []logfile.Line
	for _, name := range c.Files {
		read, err := readLog(name)
		if err != nil {
			return err
		}
		lines = append(lines, read...)
	}
	trace := logfile.NewTrace(lines, c.ID)
	if len(trace.Lines) == 0 {
		return fmt.Errorf("none of the %d log lines is about request %s", len(lines), c.ID)
	}
	trace.Print(os.Stdout)
	return nil
}

func readLog(name string) ([]logfile.Line, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	lines, skipped, err := logfile.Read(name, file)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	if skipped > 0 {
		fmt.Fprintf(os.Stderr, "%s: skipped %d lines that are not log lines\n", name, skipped)
	}
	return lines, nil
}
