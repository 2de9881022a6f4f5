package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/bronzeturn/bronzeturn/engine"
)

const (
	// batchInterval is the shortest time between two writes of an answer with a
	// limited rate.
	batchInterval = 2 * time.Millisecond
	// batchTokens is the number of tokens in one write of an answer with an
	// unlimited rate.
	batchTokens = 32
)

// generator writes one answer at the engine's generation rate.
type generator struct {
	e       *Engine
	w       http.ResponseWriter
	r       *http.Request
	j       *job
	prefix  []byte
	suffix  []byte
	buf     []byte
	timer   *time.Timer
	started time.Time
}

func newGenerator(e *Engine, w http.ResponseWriter, r *http.Request, j *job) *generator {
	return &generator{e: e, w: w, r: r, j: j, started: time.Now()}
}

// run generates all tokens and decreases left by each of them.
func (g *generator) run(left *int64) {
	if g.j.Stream {
		g.openStream()
	}
	f := g.e.faults.get()
	rate := g.e.cfg.TokensPerSecond
	if f.RateFactor > 0 {
		rate *= f.RateFactor
	}
	for done, total := 0, len(g.j.tokens); done < total; {
		due := g.dueTokens(done, total, rate)
		if f.BreakAfterTokens > 0 && due > f.BreakAfterTokens {
			g.abort(done, min(due, f.BreakAfterTokens))
		}
		g.write(g.j.tokens[done:due])
		g.e.outstanding.Add(int64(done - due))
		*left -= int64(due - done)
		done = due
		g.e.sample()
		if !g.waitForNext(done, total, rate) {
			return
		}
	}
	g.finish()
}

// dueTokens returns the number of tokens that must have been written by now, at
// least one more than done.
func (g *generator) dueTokens(done, total int, rate float64) int {
	if rate <= 0 {
		return min(done+batchTokens, total)
	}
	elapsed := time.Since(g.started).Seconds()
	return min(max(int(elapsed*rate)+1, done+1), total)
}

// waitForNext waits until the next token is due. It returns false if the request
// is cancelled first.
func (g *generator) waitForNext(done, total int, rate float64) bool {
	if g.r.Context().Err() != nil {
		return false
	}
	if rate <= 0 || done == total {
		return true
	}
	at := g.started.Add(time.Duration(float64(done) / rate * float64(time.Second)))
	d := max(time.Until(at), batchInterval)
	if g.timer == nil {
		g.timer = time.NewTimer(d)
	} else {
		g.timer.Reset(d)
	}
	select {
	case <-g.timer.C:
		return true
	case <-g.r.Context().Done():
		g.timer.Stop()
		return false
	}
}

// abort writes the tokens up to end and drops the connection.
func (g *generator) abort(done, end int) {
	g.write(g.j.tokens[done:max(done, end)])
	panic(http.ErrAbortHandler)
}

func (g *generator) id() string { return "cmpl-" + g.j.id }

// openStream sets the header of a stream and prepares the bytes before and after
// each token.
func (g *generator) openStream() {
	g.w.Header().Set("Content-Type", "text/event-stream")
	id, model := quote(g.id()), quote(g.j.Model)
	g.prefix = []byte(`data: {"id":` + id + `,"object":"chat.completion.chunk","created":0,"model":` + model +
		`,"choices":[{"index":0,"delta":{"content":"`)
	g.suffix = []byte(`"},"finish_reason":null}]}` + "\n\n")
}

// quote returns s as a JSON string.
func quote(s string) string {
	q, _ := json.Marshal(s) // Marshalling a string cannot fail.
	return string(q)
}

// write sends one event for each token, in a single write. It does nothing if the
// answer is not streamed.
func (g *generator) write(tokens []string) {
	if !g.j.Stream {
		return
	}
	g.buf = g.buf[:0]
	for _, token := range tokens {
		g.buf = append(g.buf, g.prefix...)
		g.buf = append(g.buf, token...)
		g.buf = append(g.buf, g.suffix...)
	}
	g.send()
}

// send writes the buffer and flushes it to the connection.
func (g *generator) send() {
	_, _ = g.w.Write(g.buf) // A disconnected caller shows in the request's context.
	if f, ok := g.w.(http.Flusher); ok {
		f.Flush()
	}
}

// completion is the response body of an answer that is not streamed.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   usage    `json:"usage"`
}

type choice struct {
	Index        int     `json:"index"`
	Message      message `json:"message"`
	FinishReason string  `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens        int          `json:"prompt_tokens"`
	CompletionTokens    int          `json:"completion_tokens"`
	TotalTokens         int          `json:"total_tokens"`
	PromptTokensDetails tokenDetails `json:"prompt_tokens_details"`
}

type tokenDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

func (g *generator) usage() usage {
	return usage{
		PromptTokens: g.j.prompt, CompletionTokens: len(g.j.tokens),
		TotalTokens:         g.j.prompt + len(g.j.tokens),
		PromptTokensDetails: tokenDetails{CachedTokens: g.j.cached},
	}
}

// finish writes the end of a stream, or the complete answer if it is not streamed.
func (g *generator) finish() {
	if g.j.Stream {
		g.finishStream()
		return
	}
	body, err := json.Marshal(completion{
		ID: g.id(), Object: "chat.completion", Model: g.j.Model, Usage: g.usage(),
		Choices: []choice{{
			Message:      message{Role: "assistant", Content: strings.Join(g.j.tokens, "")},
			FinishReason: g.j.finish,
		}},
	})
	if err != nil {
		http.Error(g.w, err.Error(), http.StatusInternalServerError)
		return
	}
	g.w.Header().Set("Content-Type", "application/json")
	g.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = g.w.Write(body) // A write error means that the caller has disconnected.
}

func (g *generator) finishStream() {
	head := `data: {"id":` + quote(g.id()) + `,"object":"chat.completion.chunk","created":0,"model":` + quote(g.j.Model)
	usageJSON, _ := json.Marshal(g.usage()) // Marshalling a struct of numbers cannot fail.
	g.buf = append(g.buf[:0], head+`,"choices":[{"index":0,"delta":{},"finish_reason":"`+g.j.finish+`"}]}`+"\n\n"...)
	g.buf = append(g.buf, head+`,"choices":[],"usage":`+string(usageJSON)+"}\n\n"...)
	g.buf = append(g.buf, "data: [DONE]\n\n"...)
	g.send()
}

// loadSample is the load of an engine at a point in time.
type loadSample struct {
	tokens  int64
	queued  int
	running int
	free    int
}

// sample records the current load for the load reports.
func (e *Engine) sample() {
	free, queued := e.slots.state()
	s := loadSample{tokens: e.outstanding.Load(), queued: queued, free: free, running: e.cfg.Slots - free}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loadHistory.add(time.Now(), s)
}

// load handles a request for a load report.
func (e *Engine) load(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	now, lag := time.Now(), e.faults.get().lag()
	state := e.orders.state(now)
	events, sequence := e.cache.eventsSince(after, now.Add(-e.cfg.CacheEventLag-lag))
	known := now.Add(-e.cfg.ReportLag - lag)
	e.mu.Lock()
	s, _ := e.loadHistory.asOf(known)
	e.mu.Unlock()
	writeJSON(w, engine.LoadReport{
		QueuedTokens: s.tokens, QueuedRequests: s.queued, RunningRequests: s.running, FreeSlots: s.free,
		Versions: state.Versions, Role: state.Role, CacheEvents: events, Sequence: sequence, AsOf: known,
	})
}
