package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/engine"
)

// callEngine calls e in process with a request for n tokens and returns the response.
func callEngine(ctx context.Context, e *Engine, id string, priority, n int, prompt string) *httptest.ResponseRecorder {
	body := fmt.Sprintf(`{"model":"v","max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, n, prompt)
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, engine.PathChatCompletions, strings.NewReader(body))
	r.Header.Set(engine.HeaderRequestID, id)
	r.Header.Set(engine.HeaderPriority, strconv.Itoa(priority))
	w := httptest.NewRecorder()
	e.ServeHTTP(w, r)
	return w
}

// newTestEngine returns an engine whose answers are long enough to be cut at the
// number of tokens requested.
func newTestEngine(cfg EngineConfig) *Engine {
	cfg.Versions = []string{"v"}
	cfg.AnswerTokens = 10_000
	return NewEngine(cfg)
}

func TestUrgentRequestsGoBeforeBulk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEngine(EngineConfig{Slots: 1, TokensPerSecond: 10})
		done := make(chan string, 4)
		for _, r := range []struct {
			id       string
			priority int
		}{{"first", 1}, {"bulk 1", 1}, {"bulk 2", 1}, {"urgent", 3}} {
			go func() {
				callEngine(t.Context(), e, r.id, r.priority, 10, "p")
				done <- r.id
			}()
			synctest.Wait()
		}
		var order []string
		for range 4 {
			order = append(order, <-done)
		}
		qt.Check(t, order, qt.DeepEquals, []string{"first", "urgent", "bulk 1", "bulk 2"})
	})
}

func TestFullQueueRefusesWithoutRunning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEngine(EngineConfig{Slots: 1, QueueLimit: 1, TokensPerSecond: 10})
		for i := range 2 {
			go callEngine(t.Context(), e, strconv.Itoa(i), 1, 10, "p")
			synctest.Wait()
		}
		w := callEngine(t.Context(), e, "refused", 3, 10, "p")
		qt.Check(t, w.Code, qt.Equals, http.StatusTooManyRequests)
		qt.Check(t, w.Header().Get(engine.HeaderNotRun), qt.Equals, "true")
		time.Sleep(time.Minute)
		qt.Check(t, e.Executions(), qt.DeepEquals, map[string]int{"0": 1, "1": 1})
	})
}

func TestRequestCanceledInTheQueueDoesNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEngine(EngineConfig{Slots: 1, TokensPerSecond: 10})
		go callEngine(t.Context(), e, "running", 1, 10, "p")
		synctest.Wait()
		ctx, cancel := context.WithCancel(t.Context())
		go callEngine(ctx, e, "canceled", 1, 10, "p")
		synctest.Wait()
		cancel()
		synctest.Wait()
		qt.Check(t, callEngine(t.Context(), e, "last", 1, 10, "p").Code, qt.Equals, http.StatusOK)
		qt.Check(t, e.Executions(), qt.DeepEquals, map[string]int{"running": 1, "last": 1})
	})
}

func TestGenerationKeepsItsRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEngine(EngineConfig{TokensPerSecond: 50})
		start := time.Now()
		callEngine(t.Context(), e, "1", 1, 101, "p")
		qt.Check(t, time.Since(start), qt.Equals, 2*time.Second)
		e.SetFaults(Faults{RateFactor: 0.5})
		start = time.Now()
		callEngine(t.Context(), e, "2", 1, 101, "p")
		qt.Check(t, time.Since(start), qt.Equals, 4*time.Second)
	})
}

func TestCachedPrefixShortensTimeToFirstToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEngine(EngineConfig{PrefillTokensPerSecond: 64, CacheBlocks: 4})
		prompt := strings.Repeat("a", 4*engine.PrefixBlockBytes)
		took := func(prompt string) time.Duration {
			start := time.Now()
			callEngine(t.Context(), e, "1", 1, 1, prompt)
			return time.Since(start).Truncate(time.Second)
		}
		qt.Check(t, took(prompt), qt.Equals, 4*time.Second)
		qt.Check(t, took(prompt), qt.Equals, time.Duration(0))
		qt.Check(t, took(prompt[:2*engine.PrefixBlockBytes]+strings.Repeat("b", 2*engine.PrefixBlockBytes)), qt.Equals, 2*time.Second)
		qt.Check(t, took(strings.Repeat("c", 4*engine.PrefixBlockBytes)), qt.Equals, 4*time.Second)
		qt.Check(t, took(prompt), qt.Equals, 4*time.Second) // Evicted.
	})
}

func TestLoadReportsAreDelayedByReportLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEngine(EngineConfig{TokensPerSecond: 10, ReportLag: 2 * time.Second})
		time.Sleep(time.Minute)
		go callEngine(t.Context(), e, "1", 1, 100, "p")
		synctest.Wait()
		running := func() int {
			w := httptest.NewRecorder()
			e.ServeHTTP(w, httptest.NewRequest(http.MethodGet, engine.PathLoad+"?after=0", nil))
			var load engine.LoadReport
			qt.Assert(t, json.Unmarshal(w.Body.Bytes(), &load), qt.IsNil)
			qt.Check(t, time.Since(load.AsOf), qt.Equals, 2*time.Second)
			return load.RunningRequests
		}
		time.Sleep(time.Second)
		qt.Check(t, running(), qt.Equals, 0)
		time.Sleep(2 * time.Second)
		qt.Check(t, running(), qt.Equals, 1)
	})
}

func TestLoadedVersionServesAfterTheLoadTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := NewEngine(EngineConfig{LoadTime: 5 * time.Second})
		qt.Assert(t, e.orders.apply(time.Now(), engine.Order{ID: "1", Op: engine.OpLoad, Version: "v"}), qt.IsNil)
		qt.Check(t, callEngine(t.Context(), e, "1", 1, 1, "p").Code, qt.Equals, http.StatusNotFound)
		time.Sleep(5 * time.Second)
		qt.Check(t, callEngine(t.Context(), e, "2", 1, 1, "p").Code, qt.Equals, http.StatusOK)
		qt.Check(t, e.Executions(), qt.DeepEquals, map[string]int{"2": 1})
	})
}

func TestRequestWithOldFencingNumberDoesNotRun(t *testing.T) {
	for _, check := range []bool{true, false} {
		e := newTestEngine(EngineConfig{CheckFencing: check})
		send := func(fencing string) int {
			r := httptest.NewRequest(http.MethodPost, engine.PathChatCompletions, strings.NewReader(`{"model":"v","max_tokens":1}`))
			r.Header.Set(engine.HeaderRequestID, "1")
			r.Header.Set(engine.HeaderFencing, fencing)
			w := httptest.NewRecorder()
			e.ServeHTTP(w, r)
			return w.Code
		}
		want := map[bool]int{true: http.StatusConflict, false: http.StatusOK}[check]
		runs := map[bool]int{true: 1, false: 2}[check]
		qt.Check(t, send("7"), qt.Equals, http.StatusOK)
		qt.Check(t, send("6"), qt.Equals, want)
		qt.Check(t, e.Executions()["1"], qt.Equals, runs)
	}
}

func TestCheckAnswer(t *testing.T) {
	c := qt.New(t)
	body := []byte(`{"model":"v","messages":[{"role":"user","content":"p\u00e4"}]}`)
	same := []byte(`{"messages": [{"content": "pä", "role": "user"}], "cache_salt": "o", "model": "w"}`)
	other := []byte(`{"messages":[{"role":"user","content":"q"}]}`)
	digest, err := promptDigest(body)
	c.Assert(err, qt.IsNil)
	text := strings.Join(answerTokens(digest, 5), "")
	c.Assert(CheckAnswer(body, text), qt.IsNil)
	c.Assert(CheckAnswer(same, text), qt.IsNil)
	for _, bad := range []string{"", text[1:], text[:len(text)-1], text + " x", strings.Replace(text, " ", "  ", 1)} {
		c.Assert(CheckAnswer(body, bad), qt.ErrorIs, ErrWrongAnswer)
	}
	c.Assert(CheckAnswer(other, text), qt.ErrorIs, ErrWrongAnswer)
}

func TestControlRefusesUnknownFaults(t *testing.T) {
	c := qt.New(t)
	e := newTestEngine(EngineConfig{})
	put := func(body string) int {
		w := httptest.NewRecorder()
		e.ServeHTTP(w, httptest.NewRequest(http.MethodPut, PathFaults, strings.NewReader(body)))
		return w.Code
	}
	c.Assert(put(`{"slowms":3}`), qt.Equals, http.StatusBadRequest)
	c.Assert(put(`{"refuse":true}`), qt.Equals, http.StatusOK)
	c.Assert(callEngine(ctx, e, "1", 1, 1, "p").Code, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(put(`{}`), qt.Equals, http.StatusOK)
	c.Assert(callEngine(ctx, e, "1", 1, 1, "p").Code, qt.Equals, http.StatusOK)
}

var ctx = context.Background()
