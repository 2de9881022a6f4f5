package harness

import (
	"bufio"
	"fmt"
	"os/exec"
	"strings"
	"sync"
	"time"
)

// Engine is an engine as a process of the program engine. It prints a line for each event.
type Engine struct {
	ID, Listen string

	record *Record
	cmd    *exec.Cmd
	ended  chan struct{}

	mu    sync.Mutex
	lines []string
}

// StartEngine starts an engine and waits until it listens.
func StartEngine(record *Record, id, listen string, args ...string) (*Engine, error) {
	cmd := exec.Command("target/review/engine", append([]string{"-id", id, "-listen", listen}, args...)...)
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	register(cmd)
	e := &Engine{ID: id, Listen: listen, record: record, cmd: cmd, ended: make(chan struct{})}
	go func() {
		for lines := bufio.NewScanner(out); lines.Scan(); {
			record.Printf("engine %s: %s", id, lines.Text())
			e.mu.Lock()
			e.lines = append(e.lines, lines.Text())
			e.mu.Unlock()
		}
		_ = cmd.Wait()
		unregister(cmd)
		record.Printf("engine %s: process ended", id)
		close(e.ended)
	}()
	deadline := time.Now().Add(5 * time.Second)
	for !e.Said("listens") {
		if time.Now().After(deadline) {
			return e, fmt.Errorf("engine %s does not listen", id)
		}
		time.Sleep(time.Millisecond)
	}
	return e, nil
}

// EventText returns one event of the stream that answers a request. Each event but the last is padded
// so that its data line has the given length, if that is not 0.
func EventText(id string, n, of, line int) string {
	data := fmt.Sprintf("data: %s piece %d of %d", id, n, of)
	if n < of {
		data += strings.Repeat(" ", max(line-len(data), 0))
	}
	return fmt.Sprintf("id: %d\n%s\n\n", n, data)
}

// Said reports whether the engine has printed a line that begins with the text.
func (e *Engine) Said(prefix string) bool { return len(e.Lines(prefix)) > 0 }

// Lines returns the lines printed so far that begin with the text.
func (e *Engine) Lines(prefix string) (found []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, line := range e.lines {
		if strings.HasPrefix(line, prefix) {
			found = append(found, line)
		}
	}
	return found
}

// Kill ends the process at once, as a crash does.
func (e *Engine) Kill() {
	_ = e.cmd.Process.Kill()
	<-e.ended
}
