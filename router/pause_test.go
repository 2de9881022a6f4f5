package router

import (
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/callerapi"
	"github.com/bronzeturn/bronzeturn/engine"
)

// TestPauseOfAServiceOrEngineIsKept guards against requests to a plain service or an engine that
// has refused one and asked for none for some time, and against callers who are told to come back
// before.
func TestPauseOfAServiceOrEngineIsKept(t *testing.T) {
	const pause = 20 * time.Second
	refuse := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(engine.HeaderNotRun, "true")
		w.Header().Set("Retry-After", "20")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	for name, request := range map[string]callerRequest{
		"service": {path: "/v1/services/tickets/x", header: header(callerapi.HeaderIdempotencyKey, "k")},
		"engine":  {},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				s := newFixture(t)
				s.setEngines(refuse)
				s.network.set(serviceAddress, refuse)
				s.send(request)
				reached := slices.Clone(s.network.hosts())
				slices.Sort(reached)
				c.Check(reached, qt.DeepEquals, slices.Compact(slices.Clone(reached)), qt.Commentf("one request for each target"))
				time.Sleep(pause / 2)
				g := s.send(request)
				c.Check(g.Code, qt.Equals, http.StatusServiceUnavailable)
				c.Check(g.Header().Get("Retry-After"), qt.Equals, "10")
				c.Check(s.network.hosts(), qt.HasLen, len(reached), qt.Commentf("none in the pause"))
				time.Sleep(pause / 2)
				s.send(request)
				c.Check(len(s.network.hosts()) > len(reached), qt.IsTrue)
			})
		})
	}
}
