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
	// PathFaults takes Faults by PUT and shows those in force by GET.
	PathFaults = "/control/faults"
)

// maxControlBytes bounds the body of a control call.
const maxControlBytes = 4 << 20

// Faults are the failures that a stand-in brings about. A PUT replaces them all.
type Faults struct {
	// SlowMillis delays every call by so many milliseconds.
	SlowMillis int64 `json:"slow_ms"`
	// Refuse answers every call 503, marked as not run.
	Refuse bool `json:"refuse"`
	// Fail lets every call take effect and answers 500.
	Fail bool `json:"fail"`
	// LoseAnswers lets so many calls other than GET take effect and drops
	// their connections without an answer. Below zero means all.
	LoseAnswers int `json:"lose_answers"`
	// LagMillis delays what reports, lists and ratings show, in milliseconds.
	LagMillis int64 `json:"lag_ms"`
	// SilenceConnections makes the connections that are open now go silent for
	// good. New connections work.
	SilenceConnections bool `json:"silence_connections"`
	// BreakAfterTokens cuts each answer of an engine after so many tokens.
	BreakAfterTokens int `json:"break_after_tokens"`
	// RateFactor multiplies an engine's generation rate. Zero means one.
	RateFactor float64 `json:"rate_factor"`
}

// lag returns LagMillis as a duration.
func (f Faults) lag() time.Duration { return time.Duration(f.LagMillis) * time.Millisecond }

// faultState holds the faults in force.
type faultState struct {
	mu  sync.Mutex
	now Faults
}

func (s *faultState) set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.now = f
}

func (s *faultState) get() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now
}

// loses tells whether the answer of this call is lost, and counts it.
func (s *faultState) loses(method string) bool {
	if method == http.MethodGet {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.now.LoseAnswers > 0 {
		s.now.LoseAnswers--
		return true
	}
	return s.now.LoseAnswers < 0
}

// apply lets next answer the call under the faults in force.
func (s *faultState) apply(next http.Handler, w http.ResponseWriter, r *http.Request) {
	f := s.get()
	if !pause(r, time.Duration(f.SlowMillis)*time.Millisecond) {
		return
	}
	switch {
	case f.Refuse:
		refuse(w, http.StatusServiceUnavailable, engine.ErrorTypeNotRun, "refused by a fault")
	case f.Fail:
		next.ServeHTTP(newDiscard(), r)
		http.Error(w, "failed by a fault", http.StatusInternalServerError)
	case s.loses(r.Method):
		next.ServeHTTP(newDiscard(), r)
		panic(http.ErrAbortHandler)
	default:
		next.ServeHTTP(w, r)
	}
}

// pause waits for d and tells whether the caller is still there.
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

// discard is a ResponseWriter whose answer goes nowhere.
type discard struct {
	header http.Header
}

func newDiscard() *discard { return &discard{header: make(http.Header)} }

// Header implements http.ResponseWriter.
func (d *discard) Header() http.Header { return d.header }

// Write implements http.ResponseWriter.
func (d *discard) Write(p []byte) (int, error) { return len(p), nil }

// WriteHeader implements http.ResponseWriter.
func (d *discard) WriteHeader(int) {}

// Flush implements http.Flusher.
func (d *discard) Flush() {}

func isControl(r *http.Request) bool { return strings.HasPrefix(r.URL.Path, pathControl) }

// newControl returns a router with the control endpoint of faults. The
// stand-ins add their own paths.
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

// readJSON decodes a control body strictly, or answers 400.
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
	_, _ = w.Write(append(body, '\n')) // A caller that is gone needs no answer.
}

// refuse answers that the call did not run.
func refuse(w http.ResponseWriter, status int, kind, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(engine.HeaderNotRun, "true")
	w.WriteHeader(status)
	body, _ := json.Marshal(map[string]map[string]string{"error": {"type": kind, "message": message}})
	_, _ = w.Write(body) // A caller that is gone needs no answer.
}
