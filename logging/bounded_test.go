package logging

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// reader stores what is written to it. If stop is not nil, writes block until stop is
// closed.
type reader struct {
	mu   sync.Mutex
	got  bytes.Buffer
	stop chan struct{}
}

func (r *reader) Write(p []byte) (int, error) {
	if r.stop != nil {
		<-r.stop
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.got.Write(p)
}

func (r *reader) text() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.got.String()
}

func TestLinesAreWrittenInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &reader{}
		w := NewAsyncWriter(r)
		for i := range 3 {
			_, _ = fmt.Fprintf(w, "line %d\n", i)
		}
		time.Sleep(2 * batchDelay)
		qt.Check(t, r.text(), qt.Equals, "line 0\nline 1\nline 2\n")
		_, _ = fmt.Fprintln(w, "last")
		w.Close()
		synctest.Wait()
		qt.Check(t, strings.HasSuffix(r.text(), "last\n"), qt.IsTrue)
	})
}

// TestBlockedReaderDoesNotBlockWrites writes three times as many lines as the queue holds while
// the reader is blocked.
func TestBlockedReaderDoesNotBlockWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &reader{stop: make(chan struct{})}
		w := NewAsyncWriter(r)
		_, _ = fmt.Fprintln(w, "first")
		time.Sleep(2 * batchDelay)
		start := time.Now()
		for i := range 3 * maxQueuedLines {
			_, _ = fmt.Fprintf(w, "line %d\n", i)
		}
		qt.Check(t, time.Since(start), qt.Equals, time.Duration(0))
		qt.Check(t, w.Dropped(), qt.Equals, uint64(2*maxQueuedLines))
		close(r.stop)
		time.Sleep(2 * batchDelay)
		w.Close()
		synctest.Wait()
		qt.Check(t, strings.Contains(r.text(), fmt.Sprintf(`"dropped":%d`, 2*maxQueuedLines)), qt.IsTrue)
	})
}
