// Package e2e starts the real programs as processes and drives the whole path
// over loopback.
package e2e

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// waitLimit bounds waits for what has to happen; it is no measure of time.
const waitLimit = 60 * time.Second

// binaries is the folder of the programs under test.
var binaries string

func TestMain(m *testing.M) { os.Exit(run(m)) }

// run builds the programs and runs the tests.
func run(m *testing.M) int {
	folder, err := os.MkdirTemp("", "bronzeturn-e2e-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(folder)
	build := exec.Command("go", "build", "-o", folder, "../cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	binaries = folder
	return m.Run()
}

// process is one running program.
type process struct {
	name string
	cmd  *exec.Cmd
	// lines holds what it wrote, one line each.
	mu    sync.Mutex
	lines []string
	more  chan struct{}
	ended chan struct{}
}

// start runs a program. Its output is read line by line.
func start(c *qt.C, name, program string, args ...string) *process {
	p := &process{name: name, more: make(chan struct{}), ended: make(chan struct{})}
	p.cmd = exec.Command(filepath.Join(binaries, program), args...)
	stdout, err := p.cmd.StdoutPipe()
	c.Assert(err, qt.IsNil)
	stderr, err := p.cmd.StderrPipe()
	c.Assert(err, qt.IsNil)
	c.Assert(p.cmd.Start(), qt.IsNil)
	var reading sync.WaitGroup
	reading.Go(func() { p.read(stdout) })
	reading.Go(func() { p.read(stderr) })
	go func() {
		reading.Wait()
		_ = p.cmd.Wait()
		close(p.ended)
	}()
	c.Cleanup(p.kill)
	return p
}

// read keeps the lines of one output.
func (p *process) read(r io.Reader) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		p.mu.Lock()
		p.lines = append(p.lines, scanner.Text())
		close(p.more)
		p.more = make(chan struct{})
		p.mu.Unlock()
	}
}

// kill ends the process at once, if it still runs.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.ended
}

// exit waits until the process has ended by itself and returns its exit code.
func (p *process) exit(c *qt.C) int {
	select {
	case <-p.ended:
		return p.cmd.ProcessState.ExitCode()
	case <-time.After(waitLimit):
		c.Fatalf("%s does not end", p.name)
		return -1
	}
}

// waitLine waits for a line that the function accepts.
func (p *process) waitLine(c *qt.C, what string, accept func(line string) bool) {
	deadline := time.After(waitLimit)
	seen := 0
	for {
		p.mu.Lock()
		lines, more := p.lines[seen:], p.more
		seen = len(p.lines)
		p.mu.Unlock()
		for _, line := range lines {
			if accept(line) {
				return
			}
		}
		select {
		case <-more:
		case <-p.ended:
			c.Fatalf("%s ended before %s:\n%s", p.name, what, p.output())
		case <-deadline:
			c.Fatalf("%s: no %s:\n%s", p.name, what, p.output())
		}
	}
}

// output is all that the process wrote.
func (p *process) output() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Join(p.lines, "\n")
}

// standIn starts a stand-in and returns it with its address.
func standIn(c *qt.C, args ...string) (*process, string) {
	p := start(c, args[0], "bronzeturn-standin", args...)
	var started struct{ Address string }
	p.waitLine(c, "address", func(line string) bool {
		return json.Unmarshal([]byte(line), &started) == nil && started.Address != ""
	})
	return p, started.Address
}

// command runs the operators' command line to its end.
func command(args ...string) (stdout string, exitCode int) {
	cmd := exec.Command(filepath.Join(binaries, "bronzeturn"), args...)
	var out, errs bytes.Buffer
	cmd.Stdout = &out
	cmd.Stderr = &errs
	err := cmd.Run()
	if err == nil {
		return out.String(), 0
	}
	return out.String() + errs.String(), cmd.ProcessState.ExitCode()
}
