// Command review3 holds the stand-ins of the cases review/11 and review/13 to review/15 and their checks: the platform's store, endpoints and clients, in
// one process, which starts the program of the deploy file as separate processes.
//
// # Usage
//
//	target/review3 CASE FOLDER
//
// It writes FOLDER/record.txt and exits with 1 if the rule of the case was broken, 0 if it held and 2 if the case couldn't run. With
// TROUBLE=0 in the environment it does the same without the disruption. With KEEP=1 it keeps the logs of the nodes.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

var cases = map[string]func(w *world) bool{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: review3 CASE FOLDER")
		os.Exit(2)
	}
	var err error
	recordFile, err = os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Println("cannot run:", err)
		os.Exit(2)
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		cannotRun()
	}()
	time.AfterFunc(115*time.Second, func() {
		record("the time of the script is over")
		cannotRun()
	})
	w := newWorld()
	record("case %s, TROUBLE=%v", os.Args[1], trouble)
	broken := cases[os.Args[1]](w)
	verdict := "the rule held"
	code := 0
	if broken {
		verdict, code = "the rule was broken", 1
	}
	record("%s", verdict)
	fmt.Println(verdict)
	finish(code)
}
