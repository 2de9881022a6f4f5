package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines is how many lines may wait for a reader that is slow.
	maxQueuedLines = 4096
	// batchDelay is how long lines are gathered before they are written together.
	batchDelay = 50 * time.Millisecond
	// maxBatchBytes bounds the bytes written together.
	maxBatchBytes = 64 << 10
	// closeTimeout bounds the wait for a reader at the end.
	closeTimeout = 300 * time.Millisecond
)

// AsyncWriter is a writer for log lines that never blocks: lines wait in bounded
// memory, and what does not fit is dropped and counted in the log itself.
type AsyncWriter struct {
	lines   chan []byte
	dropped atomic.Uint64
	closing chan struct{}
	done    chan struct{}
	once    sync.Once
}

// NewAsyncWriter returns a writer that passes lines on to w.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	b := &AsyncWriter{lines: make(chan []byte, maxQueuedLines), closing: make(chan struct{}), done: make(chan struct{})}
	go b.run(w)
	return b
}

// Write implements io.Writer for one line. It never blocks and never fails.
func (b *AsyncWriter) Write(line []byte) (int, error) {
	kept := make([]byte, len(line))
	copy(kept, line)
	select {
	case b.lines <- kept:
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped and not yet told of in the log.
func (b *AsyncWriter) Dropped() uint64 { return b.dropped.Load() }

// Close writes what waits, unless the reader takes too long.
func (b *AsyncWriter) Close() {
	b.once.Do(func() { close(b.closing) })
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case <-b.done:
	case <-timer.C:
	}
}

// run writes lines until Close.
func (b *AsyncWriter) run(w io.Writer) {
	defer close(b.done)
	for {
		select {
		case line := <-b.lines:
			b.waitForBatch()
			b.flush(w, line)
		case <-b.closing:
			b.flush(w, nil)
			return
		}
	}
}

// waitForBatch lets more lines gather.
func (b *AsyncWriter) waitForBatch() {
	timer := time.NewTimer(batchDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-b.closing:
	}
}

// flush writes the lines that wait.
func (b *AsyncWriter) flush(w io.Writer, first []byte) {
	batch := append([]byte(nil), first...)
	for {
		select {
		case line := <-b.lines:
			batch = append(batch, line...)
			if len(batch) < maxBatchBytes {
				continue
			}
		default:
		}
		break
	}
	if n := b.dropped.Swap(0); n > 0 {
		batch = fmt.Appendf(batch, `{"level":"warn","part":"logging","dropped":%d,"message":"lines dropped, the reader was too slow"}`+"\n", n)
	}
	if len(batch) > 0 {
		_, _ = w.Write(batch) // There is no other place to tell of a log that fails.
	}
	if len(b.lines) > 0 {
		b.flush(w, nil)
	}
}
