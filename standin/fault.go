package standin

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/uptrace/bunrouter"

	"github.com/bronzeturn/bronzeturn/engine"
)

// Paths of the control endpoint.
const (
	pathControl = "/control/"
	// PathFaults returns the current Faults on GET and replaces them on PUT.
	PathFaults = "/control/faults"
)

// maxControlBytes bounds the body of a control request.
const maxControlBytes = 4 << 20

// Faults are the faults that a stand-in injects. A PUT replaces all of them.
type Faults struct {
	// SlowMillis delays every call, in milliseconds.
	SlowMillis int64 `json:"slow_ms"`
	// Refuse rejects every call with status 503 and marks it as not run.
	Refuse bool `json:"refuse"`
	// Fail executes every call and responds with status 500.
	Fail bool `json:"fail"`
	// LoseAnswers is the number of calls, other than GET, that are executed but
	// whose connections are dropped without an answer. A negative number means
	// all calls.
	LoseAnswers int `json:"lose_answers"`
	// LagMillis is added to the lag of load reports, cache events, host lists and
	// ratings, in milliseconds.
	LagMillis int64 `json:"lag_ms"`
	// SilenceConnections makes the open connections permanently silent: nothing
	// more is sent or received on them. New connections work.
	SilenceConnections bool `json:"silence_connections"`
	// BreakAfterTokens drops the connection of each engine answer after this many
	// tokens. Zero means never.
	BreakAfterTokens int `json:"break_after_tokens"`
	// Endless makes the answer of every call other than GET go on until its connection is closed,
	// EndlessReports those of GET.
	Endless        Endless `json:"endless"`
	EndlessReports bool    `json:"endless_reports"`
	// RateFactor is a factor on an engine's generation rate. Zero means one.
	RateFactor float64 `json:"rate_factor"`
}

// lag returns LagMillis as a duration.
func (f Faults) lag() time.Duration { return time.Duration(f.LagMillis) * time.Millisecond }

// faultState holds the current faults.
type faultState struct {
	mu      sync.Mutex
	current Faults
}

func (s *faultState) set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current = f
}

func (s *faultState) get() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// takeLostAnswer reports whether the answer of this call is to be lost, and
// decreases the number of answers that are still to be lost.
func (s *faultState) takeLostAnswer(method string) bool {
	if method == http.MethodGet {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current.LoseAnswers > 0 {
		s.current.LoseAnswers--
		return true
	}
	return s.current.LoseAnswers < 0
}

// apply handles the call with next, subject to the current faults.
func (s *faultState) apply(next http.Handler, w http.ResponseWriter, r *http.Request) {
	f := s.get()
	if !pause(r, time.Duration(f.SlowMillis)*time.Millisecond) {
		return
	}
	switch {
	case f.Refuse:
		writeNotRun(w, http.StatusServiceUnavailable, engine.ErrorTypeNotRun, "refused by a fault")
	case f.Fail:
		next.ServeHTTP(newDiscardWriter(), r)
		http.Error(w, "failed by a fault", http.StatusInternalServerError)
	case f.Endless != "" && r.Method != http.MethodGet:
		writeEndlessly(w, f.Endless)
	case f.EndlessReports && r.Method == http.MethodGet:
		writeEndlessly(w, EndlessBody)
	case s.takeLostAnswer(r.Method):
		next.ServeHTTP(newDiscardWriter(), r)
		panic(http.ErrAbortHandler)
	default:
		next.ServeHTTP(w, r)
	}
}

// pause waits for d. It returns false if the request is cancelled first.
func pause(r *http.Request, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// discardWriter is an http.ResponseWriter that discards the response.
type discardWriter struct {
	header http.Header
}

func newDiscardWriter() *discardWriter { return &discardWriter{header: make(http.Header)} }

// Header implements http.ResponseWriter.
func (d *discardWriter) Header() http.Header { return d.header }

// Write implements http.ResponseWriter.
func (d *discardWriter) Write(p []byte) (int, error) { return len(p), nil }

// WriteHeader implements http.ResponseWriter.
func (d *discardWriter) WriteHeader(int) {}

// Flush implements http.Flusher.
func (d *discardWriter) Flush() {}

func isControl(r *http.Request) bool { return strings.HasPrefix(r.URL.Path, pathControl) }

// newControl returns a router for the control endpoint that handles PathFaults.
// Each stand-in adds its own paths.
func (s *server) newControl() *bunrouter.CompatRouter {
	router := bunrouter.New().Compat()
	router.GET(PathFaults, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.faults.get()) })
	router.PUT(PathFaults, s.putFaults)
	return router
}

func (s *server) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !readJSON(w, r, &f) {
		return
	}
	s.faults.set(f)
	if f.SilenceConnections {
		own, _ := r.Context().Value(connKey{}).(net.Conn)
		s.conns.silence(own)
	}
	writeJSON(w, f)
}

// readJSON decodes a JSON body and rejects unknown fields. It responds with status
// 400 and returns false if that fails.
func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	d := json.NewDecoder(io.LimitReader(r.Body, maxControlBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(append(body, '\n')) // A write error means that the caller has disconnected.
}

// writeNotRun responds with an error and marks the call as not run.
func writeNotRun(w http.ResponseWriter, status int, kind, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(engine.HeaderNotRun, "true")
	w.WriteHeader(status)
	body, _ := json.Marshal(map[string]map[string]string{"error": {"type": kind, "message": message}})
	_, _ = w.Write(body) // A write error means that the caller has disconnected.
}
