package bronzeturn_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/demo"
	"github.com/bronzeturn/bronzeturn/examples"
	"github.com/bronzeturn/bronzeturn/standin"
)

// crashPrompt is the prompt that crashes an engine.
const crashPrompt = "crash"

// restartDelay is how long a crashed engine refuses connections.
const restartDelay = 700 * time.Millisecond

// crashingEngine is an engine that crashes on requests with crashPrompt and restarts at the
// same address after restartDelay.
type crashingEngine struct {
	address string
	engine  http.Handler
	crashes *atomic.Int64
	ctx     context.Context

	mu     sync.Mutex
	server *http.Server
}

// startCrashingEngines replaces the engines of a platform with crashing ones and returns a
// counter of their crashes.
func startCrashingEngines(c *qt.C, p *demo.Platform) *atomic.Int64 {
	crashes := &atomic.Int64{}
	ctx, cancel := context.WithCancel(context.Background())
	for _, e := range p.Register.GetEngines() {
		replacement := &crashingEngine{
			address: "127.0.0.1:0", crashes: crashes, ctx: ctx,
			engine: standin.NewEngine(standin.EngineConfig{Versions: e.GetVersions(), Slots: int(e.GetSlots()), TokensPerSecond: 1000, AnswerTokens: 4}),
		}
		c.Assert(replacement.listen(), qt.IsNil)
		e.Address = replacement.address
		c.Cleanup(replacement.crash)
	}
	c.Cleanup(cancel)
	return crashes
}

// listen starts the engine's server.
func (e *crashingEngine) listen() error {
	l, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.address = l.Addr().String()
	e.server = &http.Server{Handler: e}
	go func(s *http.Server) { _ = s.Serve(l) }(e.server) // Returns when the server is closed by a crash.
	return nil
}

// crash closes the server and all its connections, as the end of the process would.
func (e *crashingEngine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.server.Close() // The server is not used again.
}

// ServeHTTP implements http.Handler.
func (e *crashingEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if !bytes.Contains(body, []byte(`"`+crashPrompt+`"`)) {
		r.Body = io.NopCloser(bytes.NewReader(body))
		e.engine.ServeHTTP(w, r)
		return
	}
	e.crashes.Add(1)
	e.crash()
	time.AfterFunc(restartDelay, func() {
		if e.ctx.Err() == nil {
			_ = e.listen() // The engine stays down if its port was taken.
		}
	})
	panic(http.ErrAbortHandler)
}

// TestDaemonsQuarantineARequestThatCrashesEngines guards against a request that a caller repeats
// at several daemons and that crashes one engine after the other. All daemons together may lose
// three engines before the request is in quarantine and three more afterwards, including after a
// restart of all daemons. Other requests must still be served.
func TestDaemonsQuarantineARequestThatCrashesEngines(t *testing.T) {
	const daemons, maxCrashes, repeats = 3, 3 + 3, 20
	c := qt.New(t)
	p, err := demo.StartPlatform(examples.CampinaVerde, daemons)
	c.Assert(err, qt.IsNil)
	c.Cleanup(p.Stop)
	crashes := startCrashingEngines(c, p)
	c.Assert(p.Publish(context.Background()), qt.IsNil)
	crashing := demo.Chat{Key: "key-dock-kiosks", Kind: "quick", Prompt: crashPrompt}
	harmless := demo.Chat{Key: "key-dock-kiosks", Kind: "quick", Prompt: "battery of bike 7?"}
	for range 2 {
		f, err := demo.StartFleet(p, demo.FleetOptions{Daemons: daemons, Log: io.Discard})
		c.Assert(err, qt.IsNil)
		ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
		c.Assert(f.WaitReady(ctx), qt.IsNil)
		cancel()
		for i := range repeats {
			got := crashing.Send(context.Background(), http.DefaultClient, f.Daemons[i%daemons].CallerAddress())
			c.Check(got.Err, qt.IsNil)
			time.Sleep(200 * time.Millisecond)
		}
		got := harmless.Send(context.Background(), http.DefaultClient, f.Daemons[0].CallerAddress())
		c.Check(got.Status, qt.Equals, http.StatusOK, qt.Commentf("%s", got.Body))
		c.Assert(f.Stop(), qt.IsNil)
	}
	c.Check(crashes.Load() >= 1, qt.IsTrue)
	c.Check(crashes.Load() <= maxCrashes, qt.IsTrue, qt.Commentf("%d engines crashed", crashes.Load()))
}
