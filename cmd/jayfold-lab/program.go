package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
)

// jayfoldProgram returns the path of the jayfold executable, which it builds if no path is given.
func jayfoldProgram(path string) (string, error) {
	if path != "" {
		return exec.LookPath(path)
	}
	dir, err := os.MkdirTemp("", "jayfold-bin")
	if err != nil {
		return "", err
	}
	built := filepath.Join(dir, "jayfold")
	out, err := exec.Command("go", "build", "-o", built, "./cmd/jayfold").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("go build: %w: %s", err, out)
	}
	return built, nil
}
