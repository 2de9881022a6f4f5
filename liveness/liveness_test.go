package liveness

import (
	"context"
	"errors"
	"io"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/bronzeturn/bronzeturn/inventory"
)

var errReset = errors.New("connection reset")

// fakeProber answers probes after a delay.
type fakeProber struct {
	mu        sync.Mutex
	delay     time.Duration
	reply     Reply
	err       error
	reports   bool
	restarted bool
	probes    int
}

// Probe implements Prober.
func (f *fakeProber) Probe(ctx context.Context, _ inventory.Engine, q Question) (Reply, bool, error) {
	f.mu.Lock()
	f.probes++
	delay, reply, err, reports := f.delay, f.reply, f.err, f.reports
	f.mu.Unlock()
	if q == QuestionReport && !reports {
		return ReplyUnsupported, false, nil
	}
	select {
	case <-ctx.Done():
		return "", false, ctx.Err()
	case <-time.After(delay):
		return reply, true, err
	}
}

func (f *fakeProber) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fakeProber) sent() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.probes
}

// body is a body that sends data at intervals and then ends.
type body struct {
	every time.Duration
	left  int
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	time.Sleep(b.every)
	b.left--
	return 1, nil
}

var testEngine = inventory.Engine{ID: "i-1", Started: time.UnixMilli(1), Service: "llm"}

func newMonitor(f *fakeProber) *Monitor {
	return New(Options{
		Prober: f, Registerer: prometheus.NewRegistry(),
		Restarted: func(inventory.Engine) bool { f.mu.Lock(); defer f.mu.Unlock(); return f.restarted },
	})
}

// read reads an answer to its end and returns the verdict within a time.
func read(m *Monitor, b *body, within time.Duration) Verdict {
	a := m.Open(testEngine, false)
	_, _ = io.Copy(io.Discard, a.Reader(b)) // Never fails.
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	v := a.Outlived(ctx)
	a.Close(v.Outlived())
	return v
}

// TestSlowProbeIsNoEnd guards against taking an engine whose probes wait for a slot for one that has ended.
func TestSlowProbeIsNoEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMonitor(&fakeProber{reply: ReplyInstance, delay: 3 * time.Second})
		began := time.Now()
		v := read(m, &body{50 * time.Millisecond, 4}, 10*time.Second)
		qt.Check(t, v.Evidence, qt.Equals, NewConnection)
		qt.Check(t, time.Since(began) < 4*time.Second, qt.IsTrue)
		time.Sleep(2 * probeTimeout)
		qt.Check(t, m.engineCount(), qt.Equals, 0)
	})
}

// TestProbeThatIsNeverAnsweredShowsNothing covers an engine that hangs its probes.
func TestProbeThatIsNeverAnsweredShowsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeProber{reply: ReplyInstance, delay: time.Hour}
		v := read(newMonitor(f), &body{50 * time.Millisecond, 4}, 20*time.Second)
		qt.Check(t, v.Evidence, qt.Equals, Unknown)
		qt.Check(t, f.sent() <= 2+2*maxProbes, qt.IsTrue, qt.Commentf("%d probes", f.sent()))
		time.Sleep(probeTimeout)
	})
}

// TestEngineThatCannotBeAskedIsNotWaitedFor covers services without a path for probes.
func TestEngineThatCannotBeAskedIsNotWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		v := read(newMonitor(&fakeProber{reply: ReplyUnsupported}), &body{50 * time.Millisecond, 4}, 20*time.Second)
		qt.Check(t, v.Evidence, qt.Equals, Unknown)
		qt.Check(t, time.Since(began), qt.Equals, 200*time.Millisecond)
	})
}

// TestFailedProbeIsRepeated covers probes whose connections fail, as when an engine has too many.
func TestFailedProbeIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeProber{reply: ReplyInstance, err: errReset}
		time.AfterFunc(time.Second, func() { f.set(func() { f.err = nil }) })
		qt.Check(t, read(newMonitor(f), &body{50 * time.Millisecond, 4}, 10*time.Second).Evidence, qt.Equals, NewConnection)
		qt.Check(t, f.sent() < 20, qt.IsTrue, qt.Commentf("%d probes", f.sent()))
		time.Sleep(probeTimeout)
	})
}

// TestOtherAnswersShowThatAnEngineRunsOn covers evidence that needs no probe.
func TestOtherAnswersShowThatAnEngineRunsOn(t *testing.T) {
	for _, one := range []struct {
		name string
		// left is how often the other answer goes on in steps of 50 ms.
		left int
		want Evidence
	}{
		{"goes on", 60, Data},
		{"ends at the same time", 4, Unknown},
		{"ends soon after", 6, Unknown},
	} {
		t.Run(one.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := newMonitor(&fakeProber{reply: ReplyInstance, delay: time.Hour})
				other := make(chan struct{})
				go func() {
					defer close(other)
					read(m, &body{50 * time.Millisecond, one.left}, time.Second)
				}()
				synctest.Wait()
				began := time.Now()
				v := read(m, &body{50 * time.Millisecond, 4}, time.Second)
				qt.Check(t, v.Evidence, qt.Equals, one.want)
				if one.want == Data {
					qt.Check(t, time.Since(began) < 4*50*time.Millisecond+2*inFlight, qt.IsTrue)
				}
				<-other
				time.Sleep(2 * probeTimeout)
			})
		})
	}
}

// TestOtherStartIsTheEnd covers what shows that an engine has ended.
func TestOtherStartIsTheEnd(t *testing.T) {
	for _, one := range []struct {
		name   string
		prober *fakeProber
		want   Evidence
	}{
		{"another instance answers", &fakeProber{reply: ReplyOther}, OtherInstance},
		{"another start reports", &fakeProber{reply: ReplyOther, reports: true}, OtherInstance},
		{"the same start reports", &fakeProber{reply: ReplyStart, reports: true}, Start},
		{"another start is registered", &fakeProber{reply: ReplyInstance, restarted: true}, OtherInstance},
		{"connections are refused", &fakeProber{err: syscall.ECONNREFUSED}, Refused},
	} {
		t.Run(one.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				qt.Check(t, read(newMonitor(one.prober), &body{50 * time.Millisecond, 4}, 10*time.Second).Evidence, qt.Equals, one.want)
				time.Sleep(2 * probeTimeout)
			})
		})
	}
}

// TestManyEndsShareProbes guards against a probe for each end while an engine is full.
func TestManyEndsShareProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeProber{reply: ReplyInstance, delay: 2 * time.Second}
		m := newMonitor(f)
		var all sync.WaitGroup
		for i := range 200 {
			all.Go(func() {
				time.Sleep(time.Duration(i) * 10 * time.Millisecond)
				qt.Check(t, read(m, &body{50 * time.Millisecond, 1}, 10*time.Second).Outlived(), qt.IsTrue)
			})
		}
		all.Wait()
		qt.Check(t, f.sent() < 20, qt.IsTrue, qt.Commentf("%d probes", f.sent()))
		time.Sleep(2 * probeTimeout)
	})
}
