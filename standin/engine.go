package standin

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uptrace/bunrouter"

	"github.com/bronzeturn/bronzeturn/engine"
)

// EngineConfig configures an Engine.
type EngineConfig struct {
	// Versions are the versions that are loaded at the start.
	Versions []string
	// Slots is the number of requests that run concurrently. Zero means 8.
	Slots int
	// QueueLimit bounds the number of queued requests. Zero means no limit.
	QueueLimit int
	// TokensPerSecond is the generation rate of each slot. Zero means
	// unlimited.
	TokensPerSecond float64
	// PrefillTokensPerSecond is the rate at which prompt tokens that are not in
	// the prefix cache are processed. Zero means unlimited.
	PrefillTokensPerSecond float64
	// AnswerTokens is the mean length of an answer. The prompt determines the
	// length, between half and one and a half times the mean. Zero means 32.
	AnswerTokens int
	// CacheBlocks is the size of the prefix cache, in blocks of
	// engine.PrefixBlockBytes. Zero means 4096.
	CacheBlocks int
	// CacheEventLag delays the publication of cache events. Every
	// CacheEventGap-th event is lost; zero means none.
	CacheEventLag time.Duration
	CacheEventGap uint64
	// ReportLag is the age of the load shown in load reports.
	ReportLag time.Duration
	// CheckFencing makes the engine reject an order whose fencing number is
	// below that of an earlier order, and a request whose fencing number is
	// below that of an earlier request with the same id.
	CheckFencing bool
	// LoadTime is the time to load a version.
	LoadTime time.Duration
	// Role is the initial role.
	Role string
	// CrashOn is a text that crashes the engine when it starts to run a request
	// whose prompt contains it. Empty means none.
	CrashOn string
	// Crash replaces the exit of the process in a crash. Nil means os.Exit.
	Crash func()
}

const (
	defaultSlots        = 8
	defaultAnswerTokens = 32
	defaultCacheBlocks  = 4096
	// bytesPerToken is the assumed length of a prompt token.
	bytesPerToken = 4
	// maxPrefixBlocks bounds the number of cached blocks of one prompt.
	maxPrefixBlocks = 1024
	// maxAnswerTokens bounds the length of one answer.
	maxAnswerTokens = 100_000
)

// Engine is a stand-in for a model engine.
type Engine struct {
	server
	cfg         EngineConfig
	slots       slots
	cache       *prefixCache
	orders      orders
	outstanding atomic.Int64 // tokens still to be generated

	mu          sync.Mutex
	executed    *counter
	fencing     map[string]uint64 // highest fencing number by request id
	loadHistory history[loadSample]
}

// NewEngine returns an Engine.
func NewEngine(cfg EngineConfig) *Engine {
	setDefault(&cfg.Slots, defaultSlots)
	setDefault(&cfg.AnswerTokens, defaultAnswerTokens)
	setDefault(&cfg.CacheBlocks, defaultCacheBlocks)
	e := &Engine{
		cfg:      cfg,
		slots:    slots{free: cfg.Slots, limit: cfg.QueueLimit},
		cache:    newPrefixCache(cfg.CacheBlocks, cfg.CacheEventGap),
		orders:   newOrders(cfg),
		executed: newCounter(executionsKept),
		fencing:  make(map[string]uint64),
	}
	e.sample()
	router := bunrouter.New().Compat()
	router.POST(engine.PathChatCompletions, e.chat)
	router.GET(engine.PathLoad, e.load)
	router.POST(engine.PathOrders, e.order)
	e.handler = router
	control := e.newControl()
	control.GET(PathExecutions, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Executions()) })
	e.control = control
	return e
}

func setDefault(value *int, standard int) {
	if *value <= 0 {
		*value = standard
	}
}

// Executions returns the number of executions by request id.
func (e *Engine) Executions() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.executed.all()
}

// job is a request to the engine with its planned answer.
type job struct {
	Model               string `json:"model"`
	Stream              bool   `json:"stream"`
	MaxTokens           int    `json:"max_tokens"`
	MaxCompletionTokens int    `json:"max_completion_tokens"`

	id       string
	priority int
	fencing  uint64
	digest   uint64
	prefixes []uint64
	prompt   int
	cached   int
	tokens   []string
	finish   string
	// crashes reports that the request crashes the engine.
	crashes bool
}

var errMalformed = errors.New("malformed request")

// readJob decodes a request and plans its answer.
func (e *Engine) readJob(r *http.Request) (*job, error) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBytes))
	if err != nil {
		return nil, err
	}
	j := &job{id: r.Header.Get(engine.HeaderRequestID)}
	if err := json.Unmarshal(body, j); err != nil {
		return nil, errors.Join(errMalformed, err)
	}
	text, err := engine.PromptText(body)
	if err != nil {
		return nil, err
	}
	if j.digest, err = promptDigest(body); err != nil {
		return nil, err
	}
	j.prefixes = engine.PromptPrefixes(text, maxPrefixBlocks)
	j.crashes = e.cfg.CrashOn != "" && strings.Contains(string(text), e.cfg.CrashOn)
	j.prompt = (len(text) + bytesPerToken - 1) / bytesPerToken
	// A missing header parses to zero, which is its default.
	j.priority, _ = strconv.Atoi(r.Header.Get(engine.HeaderPriority))
	j.fencing, _ = strconv.ParseUint(r.Header.Get(engine.HeaderFencing), 10, 64)
	j.tokens, j.finish = e.planAnswer(j)
	return j, nil
}

// planAnswer returns the tokens and the finish reason of the answer.
func (e *Engine) planAnswer(j *job) ([]string, string) {
	usual := uint64(e.cfg.AnswerTokens)
	count, finish := int(usual/2+j.digest%(usual+1)), "stop"
	limit := max(j.MaxTokens, j.MaxCompletionTokens)
	if limit <= 0 || limit > maxAnswerTokens {
		limit = maxAnswerTokens
	}
	if count > limit {
		count, finish = limit, "length"
	}
	return answerTokens(j.digest, max(count, 1)), finish
}

// chat handles a chat completion request.
func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	j, err := e.readJob(r)
	if err != nil {
		writeNotRun(w, http.StatusBadRequest, "invalid_request_error", err.Error())
		return
	}
	if !e.orders.isLoaded(time.Now(), j.Model) {
		writeNotRun(w, http.StatusNotFound, engine.ErrorTypeNotRun, "version not loaded")
		return
	}
	e.outstanding.Add(int64(len(j.tokens)))
	left := int64(len(j.tokens))
	defer func() {
		e.outstanding.Add(-left)
		e.sample()
	}()
	e.sample()
	if err := e.slots.acquire(r.Context(), j.priority); err != nil {
		e.writeQueueFull(w, err)
		return
	}
	defer e.slots.release()
	e.run(w, r, j, &left)
}

// writeQueueFull responds to a request that got no slot. It writes nothing if the
// caller cancelled the request.
func (e *Engine) writeQueueFull(w http.ResponseWriter, err error) {
	if !errors.Is(err, errQueueFull) {
		return // The caller cancelled the request.
	}
	w.Header().Set("Retry-After", "1")
	writeNotRun(w, http.StatusTooManyRequests, engine.ErrorTypeNotRun, "queue is full")
}

// run executes a job that holds a slot. It decreases left by the tokens that it
// generates.
func (e *Engine) run(w http.ResponseWriter, r *http.Request, j *job, left *int64) {
	if !e.beginExecution(j) {
		writeNotRun(w, http.StatusConflict, engine.ErrorTypeFenced, "a higher fencing number was met")
		return
	}
	if j.crashes {
		e.crash()
	}
	e.sample()
	hits := e.cache.insertPrompt(time.Now(), j.prefixes)
	j.cached = min(hits*engine.PrefixBlockBytes/bytesPerToken, j.prompt)
	if !pause(r, e.prefillTime(j)) {
		return
	}
	g := newGenerator(e, w, r, j)
	g.run(left)
}

// crash ends the process without an answer.
func (e *Engine) crash() {
	if e.cfg.Crash != nil {
		e.cfg.Crash()
		return
	}
	os.Exit(1)
}

// beginExecution counts the execution. It returns false, without counting, if the
// engine checks fencing and has seen a higher number for the same request id.
func (e *Engine) beginExecution(j *job) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.CheckFencing && j.fencing < e.fencing[j.id] {
		return false
	}
	if e.cfg.CheckFencing && j.fencing > 0 {
		e.recordFencing(j)
	}
	e.executed.add(j.id)
	return true
}

// recordFencing stores the fencing number of a request id. The caller must hold
// e.mu.
func (e *Engine) recordFencing(j *job) {
	if len(e.fencing) >= executionsKept {
		clear(e.fencing)
	}
	e.fencing[j.id] = j.fencing
}

func (e *Engine) prefillTime(j *job) time.Duration {
	if e.cfg.PrefillTokensPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(j.prompt-j.cached) / e.cfg.PrefillTokensPerSecond * float64(time.Second))
}
