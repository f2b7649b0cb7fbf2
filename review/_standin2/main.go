// Command standin2 holds the stand-ins and the cases of the second review. Each case starts nodes as processes, with the command and the
// settings template of deploy/system.toml, and plays the store, the endpoints and the clients itself.
//
//	target/standin2 CASE RECORD
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The results of a case, which are the exit codes.
const (
	held   = 0
	broken = 1
	unable = 2
)

// limitOfCase ends a case that hangs.
const limitOfCase = 115 * time.Second

var cases = map[string]func(s *site) int{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD")
		os.Exit(unable)
	}
	s := newSite(os.Args[2])
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	code := make(chan int, 1)
	go func() {
		defer func() {
			if cause := recover(); cause != nil {
				s.record.say("the case could not run: %v", cause)
				code <- unable
			}
		}()
		code <- cases[os.Args[1]](s)
	}()
	result := unable
	select {
	case result = <-code:
	case <-stop:
	case <-time.After(limitOfCase):
		s.record.say("the case took too long")
	}
	s.close()
	os.Exit(result)
}
