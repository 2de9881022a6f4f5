package admin

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
)

type readiness struct{ err error }

func (r *readiness) Ready() error { return r.err }

func get(h http.Handler, path string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
	return w
}

func TestReadinessEndpointFollowsReady(t *testing.T) {
	c := qt.New(t)
	r := &readiness{err: errors.New("no configuration yet")}
	h := NewHandler(Options{Metrics: prometheus.NewRegistry(), Readiness: r})
	c.Check(get(h, PathHealth).Code, qt.Equals, http.StatusOK)
	refused := get(h, PathReady)
	c.Check(refused.Code, qt.Equals, http.StatusServiceUnavailable)
	c.Check(refused.Body.String(), qt.Equals, "no configuration yet\n")
	r.err = nil
	c.Check(get(h, PathReady).Code, qt.Equals, http.StatusOK)
	r.err = errors.New("leaving")
	c.Check(get(h, PathReady).Code, qt.Equals, http.StatusServiceUnavailable)
	c.Check(get(h, PathHealth).Code, qt.Equals, http.StatusOK)
}

func TestMetricsServesTheRegistry(t *testing.T) {
	c := qt.New(t)
	registry := prometheus.NewRegistry()
	counter := prometheus.NewCounter(prometheus.CounterOpts{Name: "bronzeturn_test_total", Help: "x"})
	registry.MustRegister(counter)
	counter.Add(3)
	answer := get(NewHandler(Options{Metrics: registry, Readiness: &readiness{}}), PathMetrics)
	c.Check(answer.Code, qt.Equals, http.StatusOK)
	c.Check(answer.Body.String(), qt.Contains, "bronzeturn_test_total 3")
}

func TestPprofIsServedOnlyIfEnabled(t *testing.T) {
	paths := []string{"/debug/pprof/", "/debug/pprof/heap", "/debug/pprof/cmdline"}
	for _, path := range paths {
		on := NewHandler(Options{Metrics: prometheus.NewRegistry(), Readiness: &readiness{}, Pprof: true})
		off := NewHandler(Options{Metrics: prometheus.NewRegistry(), Readiness: &readiness{}})
		qt.Check(t, get(on, path).Code, qt.Equals, http.StatusOK, qt.Commentf(path))
		qt.Check(t, get(off, path).Code, qt.Equals, http.StatusNotFound, qt.Commentf(path))
	}
}

func TestUnknownPathAndMethodAreRefused(t *testing.T) {
	h := NewHandler(Options{Metrics: prometheus.NewRegistry(), Readiness: &readiness{}})
	qt.Check(t, get(h, "/v1/entries").Code, qt.Equals, http.StatusNotFound)
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, PathHealth, nil))
	qt.Check(t, w.Code, qt.Equals, http.StatusMethodNotAllowed)
}
