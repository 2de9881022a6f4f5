package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/bronzeturn/bronzeturn/engine"
)

// PathExecutions returns the number of executions by request id, as a JSON
// object.
const PathExecutions = "/control/executions"

const (
	// executionsKept bounds the number of request ids whose executions are counted.
	executionsKept = 200_000
	// maxRequestBytes bounds the body of a request.
	maxRequestBytes = 16 << 20
)

// PlainServiceConfig configures a PlainService.
type PlainServiceConfig struct {
	// Name is the service name in the answers.
	Name string
	// CallDuration is the time that a call takes.
	CallDuration time.Duration
}

// ServiceAnswer is the response body of a PlainService.
type ServiceAnswer struct {
	Service   string `json:"service"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	RequestID string `json:"request_id"`
	// BodySHA256 is the digest of the request body, with which a caller can
	// check that the answer belongs to its own call.
	BodySHA256 string `json:"body_sha256"`
	// Execution is the number of executions of the request id so far, this one
	// included.
	Execution int `json:"execution"`
}

// PlainService is a stand-in for a plain service. It answers on any path outside
// the control endpoint and counts executions by the X-Request-Id header.
type PlainService struct {
	server
	cfg PlainServiceConfig

	mu       sync.Mutex
	executed *counter
}

// NewPlainService returns a PlainService.
func NewPlainService(cfg PlainServiceConfig) *PlainService {
	s := &PlainService{cfg: cfg, executed: newCounter(executionsKept)}
	s.handler = http.HandlerFunc(s.call)
	control := s.newControl()
	control.GET(PathExecutions, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Executions()) })
	s.control = control
	return s
}

// Executions returns the number of executions by request id.
func (s *PlainService) Executions() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.executed.all()
}

func (s *PlainService) execute(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.executed.add(id)
}

func (s *PlainService) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	id := r.Header.Get(engine.HeaderRequestID)
	execution := s.execute(id)
	pause(r, s.cfg.CallDuration)
	sum := sha256.Sum256(body)
	writeJSON(w, ServiceAnswer{
		Service: s.cfg.Name, Method: r.Method, Path: r.URL.RequestURI(), RequestID: id,
		BodySHA256: hex.EncodeToString(sum[:]), Execution: execution,
	})
}
