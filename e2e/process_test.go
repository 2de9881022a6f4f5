// Package e2e holds end-to-end tests: they run the programs as processes and send
// requests through them over loopback.
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

// waitLimit is the time-out of waits for expected events. It is not a bound that the tests check.
const waitLimit = 60 * time.Second

// binDir is the folder of the programs under test.
var binDir string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

// buildAndRun builds the programs and runs the tests.
func buildAndRun(m *testing.M) int {
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
	binDir = folder
	return m.Run()
}

// process is a running program.
type process struct {
	name string
	cmd  *exec.Cmd
	// lines holds its output so far. newLine is closed and replaced with each new line.
	mu      sync.Mutex
	lines   []string
	newLine chan struct{}
	ended   chan struct{}
}

// startProcess starts a program that is killed at the end of the test.
func startProcess(c *qt.C, name, program string, args ...string) *process {
	p := &process{name: name, newLine: make(chan struct{}), ended: make(chan struct{})}
	p.cmd = exec.Command(filepath.Join(binDir, program), args...)
	stdout, err := p.cmd.StdoutPipe()
	c.Assert(err, qt.IsNil)
	stderr, err := p.cmd.StderrPipe()
	c.Assert(err, qt.IsNil)
	c.Assert(p.cmd.Start(), qt.IsNil)
	var reading sync.WaitGroup
	reading.Go(func() { p.readLines(stdout) })
	reading.Go(func() { p.readLines(stderr) })
	go func() {
		reading.Wait()
		_ = p.cmd.Wait()
		close(p.ended)
	}()
	c.Cleanup(p.kill)
	return p
}

// readLines collects the lines of stdout or stderr.
func (p *process) readLines(r io.Reader) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		p.mu.Lock()
		p.lines = append(p.lines, scanner.Text())
		close(p.newLine)
		p.newLine = make(chan struct{})
		p.mu.Unlock()
	}
}

// kill kills the process and waits until it has ended.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.ended
}

// waitExit waits until the process has exited by itself and returns its exit code.
func (p *process) waitExit(c *qt.C) int {
	select {
	case <-p.ended:
		return p.cmd.ProcessState.ExitCode()
	case <-time.After(waitLimit):
		c.Fatalf("%s did not exit", p.name)
		return -1
	}
}

// waitLine waits for an output line for which accept returns true.
func (p *process) waitLine(c *qt.C, what string, accept func(line string) bool) {
	deadline := time.After(waitLimit)
	seen := 0
	for {
		p.mu.Lock()
		lines, newLine := p.lines[seen:], p.newLine
		seen = len(p.lines)
		p.mu.Unlock()
		for _, line := range lines {
			if accept(line) {
				return
			}
		}
		select {
		case <-newLine:
		case <-p.ended:
			c.Fatalf("%s ended before %s:\n%s", p.name, what, p.output())
		case <-deadline:
			c.Fatalf("%s: no %s:\n%s", p.name, what, p.output())
		}
	}
}

// output returns all lines that the process has written.
func (p *process) output() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Join(p.lines, "\n")
}

// startStandIn starts a stand-in of an external system and returns its process and address.
func startStandIn(c *qt.C, args ...string) (*process, string) {
	p := startProcess(c, args[0], "bronzeturn-standin", args...)
	var started struct{ Address string }
	p.waitLine(c, "address", func(line string) bool {
		return json.Unmarshal([]byte(line), &started) == nil && started.Address != ""
	})
	return p, started.Address
}

// runCLI runs the operators' command-line tool. On failure the returned output includes stderr.
func runCLI(args ...string) (stdout string, exitCode int) {
	cmd := exec.Command(filepath.Join(binDir, "bronzeturn"), args...)
	var out, errs bytes.Buffer
	cmd.Stdout = &out
	cmd.Stderr = &errs
	err := cmd.Run()
	if err == nil {
		return out.String(), 0
	}
	return out.String() + errs.String(), cmd.ProcessState.ExitCode()
}
