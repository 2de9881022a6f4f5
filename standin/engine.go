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
	// Versions are loaded from the start.
	Versions []string
	// Slots is the number of requests decoded together. Zero means 8.
	Slots int
	// QueueLimit bounds the waiting requests. Zero means no bound.
	QueueLimit int
	// TokensPerSecond is the generation rate of one slot. Zero means as fast
	// as possible.
	TokensPerSecond float64
	// PrefillTokensPerSecond is the rate at which prompt tokens outside the
	// prefix cache are processed. Zero means at once.
	PrefillTokensPerSecond float64
	// AnswerTokens is the usual length of an answer; each prompt has its own
	// between half and one and a half of it. Zero means 32.
	AnswerTokens int
	// CacheBlocks bounds the prefix cache, in blocks of engine.PrefixBlockBytes.
	// Zero means 4096.
	CacheBlocks int
	// CacheEventLag delays cache events, CacheEventGap loses every so many-th.
	CacheEventLag time.Duration
	CacheEventGap uint64
	// ReportLag is the age of the load that reports show.
	ReportLag time.Duration
	// CheckFencing refuses orders and requests with an old fencing number.
	CheckFencing bool
	// LoadTime is the time to load a version.
	LoadTime time.Duration
	// Role is the role at the start.
	Role string
	// CrashOn is a text that ends the engine as it begins a request with it in the
	// prompt. Empty for none.
	CrashOn string
	// Crash ends the process. Nil means os.Exit.
	Crash func()
}

const (
	defaultSlots        = 8
	defaultAnswerTokens = 32
	defaultCacheBlocks  = 4096
	// bytesPerToken is the length of a prompt token in the model.
	bytesPerToken = 4
	// maxPrefixBlocks bounds the blocks of one prompt that are cached.
	maxPrefixBlocks = 1024
	// maxAnswerTokens bounds one answer.
	maxAnswerTokens = 100_000
)

// Engine stands in for a model engine.
type Engine struct {
	server
	cfg         EngineConfig
	slots       slots
	cache       *prefixCache
	orders      orders
	outstanding atomic.Int64 // tokens still to generate

	mu       sync.Mutex
	executed *counter
	fencing  map[string]uint64 // highest number by request id
	past     history[loadSample]
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

// Executions returns how often each request id was executed.
func (e *Engine) Executions() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.executed.all()
}

// job is one request in the engine.
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
	// crashes tells that the engine ends under the request.
	crashes bool
}

var errMalformed = errors.New("malformed request")

// readJob decodes a request.
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
	// Absent headers read as zero, which is their default.
	j.priority, _ = strconv.Atoi(r.Header.Get(engine.HeaderPriority))
	j.fencing, _ = strconv.ParseUint(r.Header.Get(engine.HeaderFencing), 10, 64)
	j.tokens, j.finish = e.answer(j)
	return j, nil
}

// answer decides the tokens of the answer and why it ends.
func (e *Engine) answer(j *job) ([]string, string) {
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

// chat answers one request.
func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	j, err := e.readJob(r)
	if err != nil {
		refuse(w, http.StatusBadRequest, "invalid_request_error", err.Error())
		return
	}
	if !e.orders.serves(time.Now(), j.Model) {
		refuse(w, http.StatusNotFound, engine.ErrorTypeNotRun, "version not loaded")
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
		e.refuseFull(w, err)
		return
	}
	defer e.slots.release()
	e.run(w, r, j, &left)
}

// refuseFull answers a request that got no slot.
func (e *Engine) refuseFull(w http.ResponseWriter, err error) {
	if !errors.Is(err, errQueueFull) {
		return // The caller is gone.
	}
	w.Header().Set("Retry-After", "1")
	refuse(w, http.StatusTooManyRequests, engine.ErrorTypeNotRun, "queue is full")
}

// run executes a job that has a slot. left counts down the tokens to generate.
func (e *Engine) run(w http.ResponseWriter, r *http.Request, j *job, left *int64) {
	if !e.start(j) {
		refuse(w, http.StatusConflict, engine.ErrorTypeFenced, "a higher fencing number was met")
		return
	}
	if j.crashes {
		e.crash()
	}
	e.sample()
	hits := e.cache.use(time.Now(), j.prefixes)
	j.cached = min(hits*engine.PrefixBlockBytes/bytesPerToken, j.prompt)
	if !pause(r, e.prefillTime(j)) {
		return
	}
	g := newGenerator(e, w, r, j)
	g.run(left)
}

// crash ends the engine without an answer.
func (e *Engine) crash() {
	if e.cfg.Crash != nil {
		e.cfg.Crash()
		return
	}
	os.Exit(1)
}

// start counts the execution, unless a higher fencing number was met for the
// same request id.
func (e *Engine) start(j *job) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.CheckFencing && j.fencing < e.fencing[j.id] {
		return false
	}
	if e.cfg.CheckFencing && j.fencing > 0 {
		e.remember(j)
	}
	e.executed.add(j.id)
	return true
}

// remember keeps the fencing number of a request id. The caller holds the lock.
func (e *Engine) remember(j *job) {
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
