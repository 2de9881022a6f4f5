package e2e

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/demo"
	"github.com/bronzeturn/bronzeturn/platform/emulator"
	"github.com/bronzeturn/bronzeturn/standin"
)

const (
	// stopTimeout is the time-out of the routes in tests of planned stops, longer than any grace period.
	stopTimeout = 20 * time.Second
	// sendInterval is the time between two requests on connections of their own.
	sendInterval = 50 * time.Millisecond
	// keptClients is the number of clients that use one connection until it is closed.
	keptClients = 4
)

// lateRequests counts what became of the requests to a daemon around its stop.
type lateRequests struct {
	mu sync.Mutex
	// whole were answered by an engine, refused as not run, and failed without either. unread got no
	// answer and did not run, cut got none although they ran, and falselyRefused ran although they were
	// refused as not run.
	whole, refused, failed, unread, cut, falselyRefused int
}

// add counts a request.
func (l *lateRequests) add(f *entryFleet, r entryReply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ran := len(f.record.Runs(r.id)) > 0
	switch {
	case r.err != nil && ran:
		l.cut++
	case r.err != nil:
		l.unread++
	case r.status == http.StatusOK:
		l.whole++
	case r.status == http.StatusServiceUnavailable && ran:
		l.falselyRefused++
	case r.status == http.StatusServiceUnavailable:
		l.refused++
	default:
		l.failed++
	}
}

// stopUnderLoad stops a daemon while clients send requests to it, some on connections of their own and
// some on connections that they keep, until its process has ended.
func (f *entryFleet) stopUnderLoad(daemon int, target string) *lateRequests {
	counts := &lateRequests{}
	p := f.running[daemon]
	var sending sync.WaitGroup
	for range keptClients {
		sending.Go(func() {
			transport := &http.Transport{MaxIdleConnsPerHost: 1}
			defer transport.CloseIdleConnections()
			for {
				select {
				case <-p.ended:
					return
				default:
				}
				r := f.sendOver(transport, daemon, target)
				counts.add(f, r)
				if r.status != http.StatusOK {
					time.Sleep(sendInterval)
				}
			}
		})
	}
	ticker := time.NewTicker(sendInterval)
	defer ticker.Stop()
	signal := time.After(2 * time.Second)
	for running := true; running; {
		select {
		case <-signal:
			f.c.Assert(p.cmd.Process.Signal(syscall.SIGTERM), qt.IsNil)
		case <-p.ended:
			running = false
		case <-ticker.C:
			sending.Go(func() { counts.add(f, f.send(daemon, http.MethodPost, target, emulator.TokensHeader, "100,100")) })
		}
	}
	sending.Wait()
	return counts
}

// sendOver sends a request over a transport, which may keep its connection.
func (f *entryFleet) sendOver(transport http.RoundTripper, daemon int, target string) entryReply {
	req, id := f.newRequest(daemon, http.MethodPost, target, "body", emulator.TokensHeader, "100,100")
	req.Close = false
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return entryReply{id: id, err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return entryReply{id: id, body: string(data), status: resp.StatusCode, err: err}
}

// newStoppingFleet starts two daemons before engines that take the given time for a request.
func newStoppingFleet(t *testing.T, work time.Duration, events int, grace float64) *entryFleet {
	bounds := defaultBounds
	bounds.GraceS = grace
	f := newEntryFleet(t, 0, 0, 0, bounds)
	config := emulator.Config(2).WithTimes("desk", 300*time.Millisecond, stopTimeout).WithTimes("llm", 2*time.Second, stopTimeout)
	_, err := f.store.Put("config", "main", config)
	f.c.Assert(err, qt.IsNil)
	for i := range 3 {
		f.startEngine(t, emulator.EngineSpec{ID: fmt.Sprintf("desk-%d", i), Service: "desk", Zone: zoneOf(i), Version: "v1", Slots: 64, Work: work})
		f.startEngine(t, emulator.EngineSpec{ID: fmt.Sprintf("llm-%d", i), Service: "llm", Zone: zoneOf(i), Version: "v1", Slots: 64, Events: events, EventGap: work})
	}
	f.addDaemons(2)
	return f
}

// TestNoLateRequestIsCutInAPlannedStop guards against requests that are taken so late in the grace period
// that they can't end in it, and that get no answer although they have run.
func TestNoLateRequestIsCutInAPlannedStop(t *testing.T) {
	for _, test := range []struct {
		name, target string
		work         time.Duration
		events       int
		grace        float64
	}{
		{"once", "/once/x", 700 * time.Millisecond, 1, 3},
		{"safe", "/safe/x", 1200 * time.Millisecond, 1, 4},
		{"short", "/once/x", 100 * time.Millisecond, 1, 3},
		{"stream", "/stream/x", 100 * time.Millisecond, 12, 4},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := newStoppingFleet(t, test.work, test.events, test.grace)
			counts := f.stopUnderLoad(0, test.target)
			t.Logf("%d whole, %d refused, %d failed, %d unread, %d cut", counts.whole, counts.refused, counts.failed, counts.unread, counts.cut)
			f.c.Check(counts.cut, qt.Equals, 0)
			f.c.Check(counts.falselyRefused, qt.Equals, 0)
			f.c.Check(counts.whole > 0, qt.IsTrue)
			f.c.Check(f.running[0].waitExit(f.c), qt.Equals, 0)
		})
	}
}

// TestRequestsStillRunningAtTheEndOfAStopAreAnswered guards against requests that get no answer because
// their engine takes longer than the grace period, they wait for an engine, or their body has not come.
func TestRequestsStillRunningAtTheEndOfAStopAreAnswered(t *testing.T) {
	t.Parallel()
	f := newStoppingFleet(t, 30*time.Second, 1, 3)
	var sending sync.WaitGroup
	for _, target := range []string{"/once/x", "/safe/x"} {
		sending.Go(func() {
			r := f.send(0, http.MethodPost, target)
			f.c.Check(r.err, qt.IsNil)
			f.c.Check(r.status, qt.Equals, http.StatusBadGateway, qt.Commentf("it may have run"))
			f.c.Check(len(f.record.Runs(r.id)) > 0, qt.IsTrue)
		})
	}
	sending.Go(func() {
		conn, err := net.Dial("tcp", f.daemons[0].Front)
		f.c.Assert(err, qt.IsNil)
		defer conn.Close()
		_, err = fmt.Fprintf(conn, "POST /once/x HTTP/1.1\r\nHost: %s\r\nRequest-Id: half\r\nAuthorization: Bearer %s\r\nContent-Length: 10\r\n\r\nhalf", emulator.Host, emulator.Key)
		f.c.Assert(err, qt.IsNil)
		answer, _ := io.ReadAll(conn) // A reset after the answer is none of its matter.
		f.c.Check(strings.HasPrefix(string(answer), "HTTP/1.1 503 "), qt.IsTrue, qt.Commentf("%q", answer))
		f.c.Check(f.record.Runs("half"), qt.HasLen, 0)
	})
	f.eventually("requests at engines", func() bool { return len(f.record.Runs("")) >= 2 })
	f.c.Assert(f.running[0].cmd.Process.Signal(syscall.SIGTERM), qt.IsNil)
	sending.Wait()
	for _, run := range f.record.Runs("") {
		f.running[0].waitLine(f.c, "request in progress at the end", func(line string) bool {
			return strings.Contains(line, "request in progress at the end of the stop") && strings.Contains(line, run.RequestID)
		})
	}
	f.c.Check(f.running[0].waitExit(f.c), qt.Equals, 0)
}

// TestSignalsDuringAStopDoNotCutRequests sends further signals, changes the settings and the
// configuration, and stops a second daemon while a stop is in progress.
func TestSignalsDuringAStopDoNotCutRequests(t *testing.T) {
	t.Parallel()
	f := newStoppingFleet(t, 600*time.Millisecond, 1, 4)
	f.addDaemons(1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		for version := 3; ctx.Err() == nil; version++ {
			for _, p := range f.running[:2] {
				_ = p.cmd.Process.Signal(syscall.SIGHUP) // The process may have ended.
			}
			_, _ = f.store.Put("config", "main", emulator.Config(version).WithTimes("desk", 300*time.Millisecond, stopTimeout))
			select {
			case <-f.running[0].ended:
				return
			case <-time.After(300 * time.Millisecond):
			}
		}
	}()
	var stopping sync.WaitGroup
	counts := make([]*lateRequests, 2)
	for i := range counts {
		stopping.Go(func() { counts[i] = f.stopUnderLoad(i, "/once/x") })
	}
	f.running[0].waitLine(f.c, "begin of the stop", func(line string) bool { return strings.Contains(line, "daemon leaves") })
	f.c.Assert(f.running[0].cmd.Process.Signal(syscall.SIGTERM), qt.IsNil)
	stopping.Wait()
	for i, c := range counts {
		t.Logf("daemon %d: %d whole, %d refused, %d failed, %d unread, %d cut", i, c.whole, c.refused, c.failed, c.unread, c.cut)
		f.c.Check(c.cut, qt.Equals, 0)
		f.c.Check(c.falselyRefused, qt.Equals, 0)
		f.c.Check(f.running[i].waitExit(f.c), qt.Equals, 0)
	}
}

// TestChatRequestsStillRunningAtTheEndOfAStopAreAnswered guards against requests that get no answer
// because their engine takes longer than the daemon's stop timeout.
func TestChatRequestsStillRunningAtTheEndOfAStopAreAnswered(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	d := deployWith(c, deploymentSpec{daemons: 2, engines: 2, daemonArgs: []string{"--stop-timeout", "1s"}})
	for _, address := range d.engineAddresses {
		setFaults(c, address, standin.Faults{RateFactor: 0.01})
	}
	var sending sync.WaitGroup
	for _, chat := range []demo.Chat{
		{Key: key, Prompt: "whole"}, {Key: key, Prompt: "stream", Stream: true}, {Key: key, Prompt: "once", Kind: "report", IdempotencyKey: "k"},
	} {
		sending.Go(func() {
			r := send(chat, d.daemons[0].callers)
			c.Check(bytes.Contains(r.Body, []byte("daemon_leaving")), qt.IsTrue, qt.Commentf("%s: %d %v %s", chat.Prompt, r.Status, r.Err, r.Body))
			c.Check(bytes.Contains(r.Body, []byte(`"ran":"no"`)), qt.IsFalse, qt.Commentf("%s: %s", chat.Prompt, r.Body))
			if !chat.Stream {
				c.Check(r.Err, qt.IsNil)
				c.Check(r.Failure().Ran, qt.Not(qt.Equals), "no")
			}
		})
	}
	eventually(c, "requests at engines", func() bool { return total(d.executions(c)) == 3 })
	c.Assert(d.daemons[0].cmd.Process.Signal(syscall.SIGTERM), qt.IsNil)
	sending.Wait()
	c.Check(d.daemons[0].waitExit(c), qt.Equals, 0)
}
