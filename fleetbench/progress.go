package fleetbench

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"sync"
	"time"
)

// Log messages of a daemon that the benchmark follows.
const (
	messageStarted = "daemon started"
	messageInForce = "configuration in force"
	// fieldEngines is in the line that follows when the tables of the decisions
	// are swapped, and in no other of that message.
	fieldEngines = `"engines":`
)

// started is the log line of a daemon that serves.
type started struct {
	Peers, Operators, Admin string
}

// logLine is the part of a log line that is used.
type logLine struct {
	Message    string
	Generation uint64
	started
}

// expectation is a generation that all daemons are to reach.
type expectation struct {
	generation uint64
	reached    []time.Time
	missing    int
	done       chan struct{}
}

// progress follows the daemons by their logs. It is safe for concurrent use.
type progress struct {
	mu           sync.Mutex
	generations  []uint64
	started      []started
	startedEach  []chan struct{}
	expectations []*expectation
}

func newProgress(daemons int) *progress {
	p := &progress{
		generations: make([]uint64, daemons),
		started:     make([]started, daemons),
		startedEach: make([]chan struct{}, daemons),
	}
	for i := range p.startedEach {
		p.startedEach[i] = make(chan struct{})
	}
	return p
}

// expect begins to wait for a generation.
func (p *progress) expect(generation uint64) *expectation {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := &expectation{
		generation: generation, done: make(chan struct{}),
		reached: make([]time.Time, len(p.generations)), missing: len(p.generations),
	}
	p.expectations = append(p.expectations, e)
	now := time.Now()
	for i, in := range p.generations {
		e.note(i, in, now)
	}
	return e
}

// note records that a daemon has a generation in force.
func (e *expectation) note(daemon int, generation uint64, now time.Time) {
	if generation < e.generation || !e.reached[daemon].IsZero() {
		return
	}
	e.reached[daemon] = now
	if e.missing--; e.missing == 0 {
		close(e.done)
	}
}

// wait returns when each daemon reached the expected generation.
func (p *progress) wait(ctx context.Context, e *expectation) ([]time.Time, error) {
	var err error
	select {
	case <-e.done:
	case <-ctx.Done():
		err = ctx.Err()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, other := range p.expectations {
		if other == e {
			p.expectations = append(p.expectations[:i], p.expectations[i+1:]...)
			break
		}
	}
	return e.reached, err
}

// waitStarted returns the addresses of a daemon once it serves.
func (p *progress) waitStarted(ctx context.Context, daemon int) (started, error) {
	select {
	case <-p.startedEach[daemon]:
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.started[daemon], nil
	case <-ctx.Done():
		return started{}, ctx.Err()
	}
}

// writer takes the log of a daemon.
func (p *progress) writer(daemon int) io.Writer { return &logFollower{progress: p, daemon: daemon} }

// take takes in one line.
func (p *progress) take(daemon int, line []byte) {
	now := time.Now()
	isStarted := bytes.Contains(line, []byte(messageStarted))
	isInForce := bytes.Contains(line, []byte(messageInForce)) && bytes.Contains(line, []byte(fieldEngines))
	if !isStarted && !isInForce {
		return
	}
	var l logLine
	if json.Unmarshal(line, &l) != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if isStarted {
		p.started[daemon] = l.started
		close(p.startedEach[daemon])
		return
	}
	p.generations[daemon] = max(p.generations[daemon], l.Generation)
	for _, e := range p.expectations {
		e.note(daemon, l.Generation, now)
	}
}

// logFollower splits a log into lines.
type logFollower struct {
	progress *progress
	daemon   int

	mu   sync.Mutex
	rest []byte
}

// Write implements io.Writer.
func (f *logFollower) Write(b []byte) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rest = append(f.rest, b...)
	for {
		end := bytes.IndexByte(f.rest, '\n')
		if end < 0 {
			return len(b), nil
		}
		f.progress.take(f.daemon, f.rest[:end])
		f.rest = append([]byte(nil), f.rest[end+1:]...)
	}
}
