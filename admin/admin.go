// Package admin serves what monitoring asks of a daemon: /metrics, /healthz and
// /readyz, and /debug/pprof when the settings say so. It carries nothing of
// callers and has no authentication: its listener belongs on a private address.
package admin

import (
	"io"
	"net/http"
	"net/http/pprof"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/uptrace/bunrouter"
)

// Paths served.
const (
	PathMetrics = "/metrics"
	PathHealth  = "/healthz"
	PathReady   = "/readyz"
	pathPprof   = "/debug/pprof"
)

// Readiness tells whether the daemon takes new work.
type Readiness interface {
	// Ready returns nil, or why the daemon takes no new work, for example that
	// it is leaving or has no configuration. It must not block.
	Ready() error
}

// Options are the parts that a Handler serves.
type Options struct {
	Metrics   prometheus.Gatherer
	Readiness Readiness
	// Pprof adds /debug/pprof.
	Pprof bool
}

// NewHandler returns the handler of the admin listener.
func NewHandler(o Options) http.Handler {
	router := bunrouter.New().Compat()
	router.GET(PathMetrics, promhttp.HandlerFor(o.Metrics, promhttp.HandlerOpts{}).ServeHTTP)
	router.GET(PathHealth, healthy)
	router.GET(PathReady, readyHandler(o.Readiness))
	if o.Pprof {
		router.GET(pathPprof+"/", pprof.Index)
		router.GET(pathPprof+"/:profile", pprof.Index)
		router.GET(pathPprof+"/cmdline", pprof.Cmdline)
		router.GET(pathPprof+"/profile", pprof.Profile)
		router.GET(pathPprof+"/symbol", pprof.Symbol)
		router.GET(pathPprof+"/trace", pprof.Trace)
	}
	return router
}

func healthy(w http.ResponseWriter, _ *http.Request) {
	writeText(w, http.StatusOK, "ok")
}

func readyHandler(r Readiness) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if err := r.Ready(); err != nil {
			writeText(w, http.StatusServiceUnavailable, err.Error())
			return
		}
		writeText(w, http.StatusOK, "ready")
	}
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("X-Content-Type-Options", "nosniff")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, text+"\n")
}
