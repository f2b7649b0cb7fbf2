package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
)

// jayfoldProgram returns the path of the program jayfoldProgram, which is built where none is given.
func jayfoldProgram(given string) (string, error) {
	if given != "" {
		return exec.LookPath(given)
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
