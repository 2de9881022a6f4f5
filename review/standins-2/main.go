// Command review2 holds the stand-ins and the scripts of the second review.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// Exit codes of the scripts.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: review2 engine | CASE ROOT FOLDER")
		os.Exit(exitNotRun)
	}
	if os.Args[1] == "engine" {
		if err := runEngine(); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
		os.Exit(exitNotRun)
	}
	os.Exit(runCase())
}

func runCase() int {
	cases := map[string]func(*trial) (broken bool, err error){"restart": restartCase, "probe": probeCase, "preempt": preemptCase}
	play, ok := cases[os.Args[1]]
	if !ok || len(os.Args) < 4 {
		fmt.Fprintln(os.Stderr, "unknown case")
		return exitNotRun
	}
	t, err := newTrial(os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer t.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		t.close()
		os.Exit(exitNotRun)
	}()
	broken, err := play(t)
	switch {
	case err != nil:
		t.journal.line("not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case broken:
		fmt.Println("rule broken; see", filepath.Join(os.Args[3], "record.txt"))
		return exitBroken
	}
	fmt.Println("rule held")
	return exitHeld
}
