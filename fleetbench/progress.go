package fleetbench

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"sync"
	"time"
)

// Log messages by which the benchmark follows a daemon.
const (
	messageStarted = "daemon started"
	messageInForce = "configuration in force"
	// fieldEngines distinguishes the line that is logged once the router's tables have
	// been swapped from other lines with the same message.
	fieldEngines = `"engines":`
)

// started holds the addresses in the log line of a daemon that has started.
type started struct {
	Peers, Operators, Admin string
}

// logLine holds the fields of a log line that the benchmark reads.
type logLine struct {
	Message    string
	Generation uint64
	started
}

// expectation is a generation that all daemons are expected to reach. reached holds the time
// for each daemon, missing is the number of daemons that have not reached it, and done is
// closed when all have.
type expectation struct {
	generation uint64
	reached    []time.Time
	missing    int
	done       chan struct{}
}

// progress follows the state of the daemons by their logs. It is safe for concurrent use.
type progress struct {
	mu             sync.Mutex
	generations    []uint64
	started        []started
	startedSignals []chan struct{}
	expectations   []*expectation
}

func newProgress(daemons int) *progress {
	p := &progress{
		generations:    make([]uint64, daemons),
		started:        make([]started, daemons),
		startedSignals: make([]chan struct{}, daemons),
	}
	for i := range p.startedSignals {
		p.startedSignals[i] = make(chan struct{})
	}
	return p
}

// expect registers an expectation of a generation. Daemons that have it already count as
// having reached it now.
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
		e.record(i, in, now)
	}
	return e
}

// record records that a daemon has a generation in force.
func (e *expectation) record(daemon int, generation uint64, now time.Time) {
	if generation < e.generation || !e.reached[daemon].IsZero() {
		return
	}
	e.reached[daemon] = now
	if e.missing--; e.missing == 0 {
		close(e.done)
	}
}

// wait waits until all daemons have reached the expected generation, and returns the time at
// which each of them did.
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

// waitStarted waits until a daemon has started and returns its addresses.
func (p *progress) waitStarted(ctx context.Context, daemon int) (started, error) {
	select {
	case <-p.startedSignals[daemon]:
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.started[daemon], nil
	case <-ctx.Done():
		return started{}, ctx.Err()
	}
}

// writer returns the writer for the log of a daemon.
func (p *progress) writer(daemon int) io.Writer { return &lineWriter{progress: p, daemon: daemon} }

// processLine processes a log line of a daemon.
func (p *progress) processLine(daemon int, line []byte) {
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
		close(p.startedSignals[daemon])
		return
	}
	p.generations[daemon] = max(p.generations[daemon], l.Generation)
	for _, e := range p.expectations {
		e.record(daemon, l.Generation, now)
	}
}

// lineWriter splits the log of a daemon into lines and passes them to progress.
type lineWriter struct {
	progress *progress
	daemon   int

	mu   sync.Mutex
	rest []byte
}

// Write implements io.Writer.
func (f *lineWriter) Write(b []byte) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rest = append(f.rest, b...)
	for {
		end := bytes.IndexByte(f.rest, '\n')
		if end < 0 {
			return len(b), nil
		}
		f.progress.processLine(f.daemon, f.rest[:end])
		f.rest = append([]byte(nil), f.rest[end+1:]...)
	}
}
