// Package admin serves /metrics, /healthz and /readyz of a daemon for monitoring, and
// /debug/pprof if the settings enable it. It serves no data of callers and has no
// authentication, so its listener must have a private address.
package admin

import (
	"io"
	"net/http"
	"net/http/pprof"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/uptrace/bunrouter"
)

// Paths that the handler serves.
const (
	PathMetrics = "/metrics"
	PathHealth  = "/healthz"
	PathReady   = "/readyz"
	pathPprof   = "/debug/pprof"
)

// Readiness reports whether the daemon accepts new work.
type Readiness interface {
	// Ready returns nil, or the reason why the daemon accepts no new work, for example that
	// it is shutting down or has no configuration. It must not block.
	Ready() error
}

// Options holds what the handler serves.
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
