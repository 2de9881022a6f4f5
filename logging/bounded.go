package logging

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines is the largest number of lines that wait for a slow reader.
	maxQueuedLines = 4096
	// maxQueuedBytes is the size of all lines from which on no further ones are queued: a line may
	// hold identifiers of a client, of any length.
	maxQueuedBytes = 4 << 20
	// batchDelay is how long lines are collected before they are written in one call.
	batchDelay = 50 * time.Millisecond
	// maxBatchBytes is the size at which a batch is written without taking further lines.
	maxBatchBytes = 64 << 10
	// closeTimeout is how long Close waits for a slow reader.
	closeTimeout = 300 * time.Millisecond
)

// AsyncWriter writes log lines in the background, so that a slow reader of the log never
// blocks the daemon. Lines wait in a queue of limited length. When it is full, further
// lines are dropped, and their number is logged with the next batch.
type AsyncWriter struct {
	lines   chan []byte
	dropped atomic.Uint64
	// queued is the size of the lines in the queue, in bytes.
	queued  atomic.Int64
	closing chan struct{}
	done    chan struct{}
	once    sync.Once
}

// NewAsyncWriter returns a writer that writes lines to w in a goroutine of its own.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{lines: make(chan []byte, maxQueuedLines), closing: make(chan struct{}), done: make(chan struct{})}
	go a.run(w)
	return a
}

// Write implements io.Writer. It queues a copy of line, never blocks and never fails.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	if a.queued.Add(int64(len(line))) > maxQueuedBytes {
		a.drop(line)
		return len(line), nil
	}
	select {
	case a.lines <- bytes.Clone(line):
	default:
		a.drop(line)
	}
	return len(line), nil
}

// drop counts a line that was not queued.
func (a *AsyncWriter) drop(line []byte) {
	a.queued.Add(-int64(len(line)))
	a.dropped.Add(1)
}

// Dropped returns the number of dropped lines that have not been logged yet.
func (a *AsyncWriter) Dropped() uint64 { return a.dropped.Load() }

// Close writes the queued lines. It returns after closeTimeout even if the reader has not
// taken them all.
func (a *AsyncWriter) Close() {
	a.once.Do(func() { close(a.closing) })
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case <-a.done:
	case <-timer.C:
	}
}

// run writes lines in batches until Close is called.
func (a *AsyncWriter) run(w io.Writer) {
	defer close(a.done)
	for {
		select {
		case line := <-a.lines:
			a.queued.Add(-int64(len(line)))
			a.waitForBatch()
			a.flush(w, line)
		case <-a.closing:
			a.flush(w, nil)
			return
		}
	}
}

// waitForBatch waits for batchDelay, or until Close is called, so that more lines are queued.
func (a *AsyncWriter) waitForBatch() {
	timer := time.NewTimer(batchDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-a.closing:
	}
}

// flush writes first and all queued lines, in batches.
func (a *AsyncWriter) flush(w io.Writer, first []byte) {
	batch := append([]byte(nil), first...)
	for {
		select {
		case line := <-a.lines:
			a.queued.Add(-int64(len(line)))
			batch = append(batch, line...)
			if len(batch) < maxBatchBytes {
				continue
			}
		default:
		}
		break
	}
	if n := a.dropped.Swap(0); n > 0 {
		batch = fmt.Appendf(batch, `{"level":"warn","part":"logging","dropped":%d,"message":"lines dropped, the reader was too slow"}`+"\n", n)
	}
	if len(batch) > 0 {
		_, _ = w.Write(batch) // An error of the log itself can't be logged.
	}
	if len(a.lines) > 0 {
		a.flush(w, nil)
	}
}
