// Package harness starts the entry daemons as processes against stand-ins of the platform, and
// records what is sent, answered and run.
package harness

import (
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	ExitHeld   = 0
	ExitBroken = 1
	ExitNotRun = 2
)

// Record is the log of a run.
type Record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

// NewRecord creates the file of a record.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, started: time.Now()}, nil
}

// Printf writes one line with the time since the start.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// Close closes the file.
func (r *Record) Close() { _ = r.file.Close() }

// started holds the processes that were started and may still run.
var started struct {
	sync.Mutex
	all map[*exec.Cmd]bool
}

func register(cmd *exec.Cmd) {
	started.Lock()
	defer started.Unlock()
	if started.all == nil {
		started.all = make(map[*exec.Cmd]bool)
	}
	started.all[cmd] = true
}

func unregister(cmd *exec.Cmd) {
	started.Lock()
	defer started.Unlock()
	delete(started.all, cmd)
}

// EndOnSignal ends all processes that were started, and this one, when it is asked to stop.
func EndOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		started.Lock()
		for cmd := range started.all {
			_ = cmd.Process.Kill()
		}
		os.Exit(ExitNotRun)
	}()
}
