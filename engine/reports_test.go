package engine_test

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/engine"
	"github.com/bronzeturn/bronzeturn/failure"
	"github.com/bronzeturn/bronzeturn/overload"
	"github.com/bronzeturn/bronzeturn/standin"
)

func newControlClient(c *qt.C) *engine.ControlClient {
	t := &http.Transport{}
	c.Cleanup(t.CloseIdleConnections)
	return engine.NewControlClient(t, overload.NewAccount(0))
}

func TestOrdersAreIdempotentAndFenced(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	address := serve(c, standin.NewEngine(standin.EngineConfig{Versions: []string{"a"}, CheckFencing: true}))
	r := newControlClient(c)

	state, err := r.Order(ctx, address, engine.Order{ID: "1", Op: engine.OpLoad, Version: "b", Fencing: 5})
	c.Assert(err, qt.IsNil)
	c.Assert(state, qt.DeepEquals, engine.State{Versions: []string{"a", "b"}, Loading: []string{}, Fencing: 5})
	_, err = r.Order(ctx, address, engine.Order{ID: "2", Op: engine.OpUnload, Version: "b", Fencing: 5})
	c.Assert(err, qt.IsNil)
	state, err = r.Order(ctx, address, engine.Order{ID: "1", Op: engine.OpLoad, Version: "b", Fencing: 5})
	c.Assert(err, qt.IsNil)
	c.Assert(state.Versions, qt.DeepEquals, []string{"a"})

	_, err = r.Order(ctx, address, engine.Order{ID: "3", Op: engine.OpUnload, Version: "a", Fencing: 4})
	var failed *engine.Error
	c.Assert(errors.As(err, &failed), qt.IsTrue)
	c.Assert(failed.Kind, qt.Equals, engine.KindFenced)
	c.Assert(failed.Ran, qt.Equals, failure.RanNo)
	load, err := r.Load(ctx, address)
	c.Assert(err, qt.IsNil)
	c.Assert(load.Versions, qt.DeepEquals, []string{"a"})
}

func TestEngineWithoutFencingAcceptsOldOrders(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	address := serve(c, standin.NewEngine(standin.EngineConfig{Versions: []string{"a"}}))
	r := newControlClient(c)
	_, err := r.Order(ctx, address, engine.Order{ID: "1", Op: engine.OpSetRole, Role: "bulk", Fencing: 5})
	c.Assert(err, qt.IsNil)
	state, err := r.Order(ctx, address, engine.Order{ID: "2", Op: engine.OpSetRole, Role: "quick", Fencing: 4})
	c.Assert(err, qt.IsNil)
	c.Assert(state.Role, qt.Equals, "quick")
}

func TestLoadReportShowsCacheEventsWithGaps(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	address := serve(c, standin.NewEngine(standin.EngineConfig{Versions: []string{version}, CacheEventGap: 2}))
	r := request(address, false, 1)
	prompt := strings.Repeat("p", 4*engine.PrefixBlockBytes)
	r.Body = []byte(strings.Replace(string(r.Body), "check 7", prompt, 1))
	client := newClient(c)
	for i := range 2 {
		s, err := client.Open(ctx, r)
		c.Assert(err, qt.IsNil)
		_, _, err = answerText(s)
		c.Assert(err, qt.IsNil)
		usage, _ := s.Usage()
		c.Assert(usage.CachedTokens, qt.Equals, int64(i*4*engine.PrefixBlockBytes/4))
		c.Assert(s.Close(), qt.IsNil)
	}
	text, err := engine.PromptText(r.Body)
	c.Assert(err, qt.IsNil)
	prefixes := engine.PromptPrefixes(text, 10)
	c.Assert(prefixes, qt.HasLen, 4)

	load, err := newControlClient(c).Load(ctx, address)
	c.Assert(err, qt.IsNil)
	c.Assert(load.CacheEvents, qt.DeepEquals, []engine.CacheEvent{
		{Sequence: 1, Prefix: prefixes[0], Stored: true},
		{Sequence: 3, Prefix: prefixes[2], Stored: true},
	})
	load, err = newControlClient(c).LoadSince(ctx, address, 1)
	c.Assert(err, qt.IsNil)
	c.Assert(load.CacheEvents, qt.HasLen, 1)
}

func TestLoadReportShowsRunningRequest(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	e := standin.NewEngine(standin.EngineConfig{
		Versions: []string{version}, Slots: 3, TokensPerSecond: 0.01, AnswerTokens: 100,
	})
	address := serve(c, e)
	s, err := newClient(c).Open(ctx, request(address, true, 5))
	c.Assert(err, qt.IsNil)
	defer s.Close()
	_, err = s.Next()
	c.Assert(err, qt.IsNil)
	load, err := newControlClient(c).Load(ctx, address)
	c.Assert(err, qt.IsNil)
	c.Assert(load.RunningRequests, qt.Equals, 1)
	c.Assert(load.FreeSlots, qt.Equals, 2)
	c.Assert(load.QueuedTokens >= 4 && load.QueuedTokens <= 5, qt.IsTrue)
}

func TestUnreadableReportIsBroken(t *testing.T) {
	c := qt.New(t)
	address := serveRaw(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]")
	_, err := newControlClient(c).Load(context.Background(), address)
	var failed *engine.Error
	c.Assert(errors.As(err, &failed), qt.IsTrue)
	c.Assert(failed.Kind, qt.Equals, engine.KindBroken)
}
