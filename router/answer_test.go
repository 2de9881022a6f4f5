package router

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/callerapi"
	"github.com/bronzeturn/bronzeturn/engine"
	"github.com/bronzeturn/bronzeturn/failure"
	"github.com/bronzeturn/bronzeturn/ledger"
	"github.com/bronzeturn/bronzeturn/standin"
)

// refusing is the handler of an engine that refuses all requests without running them.
func refusing(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(engine.HeaderNotRun, "true")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// silent is the handler of an engine that never answers.
func silent(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// modelOf returns the version that a request to an engine names as its model.
func modelOf(c *qt.C, r *http.Request) string {
	var body struct{ Model string }
	c.Check(json.NewDecoder(r.Body).Decode(&body), qt.IsNil)
	return body.Model
}

// reply writes a complete answer with three completion tokens.
func reply(w http.ResponseWriter, content, finish string) {
	fmt.Fprintf(w, `{"choices":[{"message":{"content":%q},"finish_reason":%q}],"usage":{"prompt_tokens":10,"completion_tokens":3}}`, content, finish)
}

func TestEngineGoneMidAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newFixture(t)
		for _, e := range s.engines {
			e.SetFaults(standin.Faults{BreakAfterTokens: 2})
		}
		streamed := s.send(callerRequest{stream: true})
		c.Check(streamed.cut, qt.IsTrue, qt.Commentf("a broken stream must not end like a complete one"))
		c.Check(streamed.failure().Code, qt.Equals, string(failure.CodeAnswerBroken))
		c.Check(streamed.failure().Ran, qt.Equals, "yes")
		c.Check(streamed.Body.String(), qt.Not(qt.Contains), "[DONE]")
		for _, b := range s.ledger.billsOf(streamed.id()) {
			c.Check(b.CostMicros, qt.Equals, uint64(0), qt.Commentf("an answer that the engine broke off costs nothing"))
		}

		whole := s.send(callerRequest{})
		c.Check(whole.cut, qt.IsFalse)
		c.Check(whole.Code, qt.Equals, http.StatusBadGateway)
		c.Check(whole.failure().Ran, qt.Not(qt.Equals), "no")
		c.Check(s.balancer.check(), qt.Equals, "")
	})
}

func TestRetriesKeepNonIdempotentRequestsFromRunningTwice(t *testing.T) {
	tests := []struct {
		name    string
		kind    string
		handler http.HandlerFunc // of the engine that is tried first
		sent    int
		status  int
		ran     string
	}{
		{"not run is retried", "tag", refusing, 2, http.StatusOK, ""},
		{"unknown is not retried", "tag", silent, 1, http.StatusBadGateway, "unknown"},
		{"an error is not retried", "tag", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) }, 1, http.StatusBadGateway, "unknown"},
		{"a cut connection is not retried", "tag", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, 1, http.StatusBadGateway, "unknown"},
		{"an idempotent request is retried", "default", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, 2, http.StatusOK, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				s := newFixture(t)
				var asked atomic.Int32
				s.setEngines(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if asked.Add(1) == 1 {
						test.handler(w, r)
						return
					}
					s.engines[0].ServeHTTP(w, r)
				}))
				g := s.send(callerRequest{header: header(callerapi.HeaderKind, test.kind, callerapi.HeaderIdempotencyKey, "k")})
				c.Check(g.Code, qt.Equals, test.status)
				c.Check(g.failure().Ran, qt.Equals, test.ran)
				c.Check(s.network.hosts(), qt.HasLen, test.sent)
				if test.sent == 2 {
					c.Check(s.network.hosts()[0], qt.Not(qt.Equals), s.network.hosts()[1])
				}
				c.Check(s.balancer.check(), qt.Equals, "")
			})
		})
	}
}

// TestFencingNumbersOfDifferentKeysAreIndependent checks that requests with different
// idempotency keys do not fence each other. The fencing number of a claim is sent to the
// engines, which must compare only numbers of the same request id: the numbers of different
// keys are unrelated and may come in any order.
func TestFencingNumbersOfDifferentKeysAreIndependent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newFixture(t, func(cfg *standin.EngineConfig) { cfg.CheckFencing = true })
		var mu sync.Mutex
		numbers := make(map[string]bool)
		s.setEngines(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			numbers[r.Header.Get(engine.HeaderFencing)] = true
			mu.Unlock()
			s.engines[0].ServeHTTP(w, r)
		}))
		for i := range 40 {
			tag := callerRequest{header: header(callerapi.HeaderKind, "tag", callerapi.HeaderIdempotencyKey, fmt.Sprint(i))}
			c.Assert(s.send(tag).complete(tag), qt.IsTrue)
		}
		c.Assert(numbers[""], qt.IsFalse)
		c.Assert(len(numbers) > 1, qt.IsTrue)
	})
}

func TestDisconnectedCallerFreesTheEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newFixture(t, func(cfg *standin.EngineConfig) { cfg.AnswerTokens = 5000 })
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan callerResponse, 1)
		go func() { ended <- s.send(callerRequest{ctx: ctx, stream: true}) }()
		time.Sleep(time.Second)
		c.Assert(s.network.busy(), qt.Equals, 1)
		cancel()
		start := time.Now()
		g := <-ended
		synctest.Wait()
		c.Check(s.network.busy(), qt.Equals, 0)
		c.Check(time.Since(start) < recordPause, qt.IsTrue)
		c.Check(g.cut, qt.IsTrue)
		bills := s.ledger.billsOf(g.id())
		c.Assert(bills, qt.HasLen, 1, qt.Commentf("what was generated is billed"))
		c.Check(bills[0].CompletionTokens > 50 && bills[0].CompletionTokens < 200, qt.IsTrue, qt.Commentf("%d", bills[0].CompletionTokens))
		c.Check(s.balancer.check(), qt.Equals, "")
	})
}

func TestSilentCallerFreesTheEngineWithinTheStallTime(t *testing.T) {
	for _, kind := range []string{"default", "review"} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			s := newFixture(t, func(cfg *standin.EngineConfig) { cfg.AnswerTokens = 400 })
			w := &slowWriter{header: make(http.Header), limit: 8 << 10}
			start := time.Now()
			cut := s.serveTo(w, callerRequest{stream: true, header: header(callerapi.HeaderKind, kind)}.request())
			synctest.Wait()
			c.Check(cut, qt.IsTrue)
			c.Check(s.network.busy(), qt.Equals, 0)
			c.Check(s.InProgress(), qt.Equals, 0)
			c.Check(time.Since(start) < 15*time.Second, qt.IsTrue, qt.Commentf("%v", time.Since(start)))
			c.Check(s.balancer.check(), qt.Equals, "")
		})
	}
}

// TestBillIsRecordedBeforeTheLastByte checks that the end of an answer is sent only after
// its bill is recorded, and that the wait for the ledger neither delays earlier events nor
// counts against the caller or the engine.
func TestBillIsRecordedBeforeTheLastByte(t *testing.T) {
	for _, stream := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			s := newFixture(t)
			release := make(chan struct{})
			s.ledger.onBill = func(context.Context) error {
				<-release
				return nil
			}
			w := &slowWriter{header: make(http.Header)}
			a := callerRequest{stream: stream}
			ended := make(chan bool, 1)
			go func() { ended <- s.serveTo(w, a.request()) }()
			time.Sleep(2 * time.Second)
			synctest.Wait()
			c.Check(w.text.String(), qt.Not(qt.Contains), "[DONE]")
			c.Check(w.text.Len() > 0, qt.Equals, stream, qt.Commentf("events before the last are sent without waiting for the bill"))
			c.Check(w.writeDeadline.IsZero(), qt.IsTrue, qt.Commentf("the write deadline does not run while the bill is recorded"))
			c.Check(s.balancer.check(), qt.Equals, "", qt.Commentf("the engine is free while the bill is recorded"))
			close(release)
			c.Check(<-ended, qt.IsFalse)
			c.Check(s.ledger.bills, qt.HasLen, 1)
			c.Check(w.text.Len() > 0, qt.IsTrue)
		})
	}
}

// TestRecordedAnswerOutlivesTheConnection checks that a caller whose connection breaks at
// the end of the answer gets the answer by a repeat with the same key.
func TestRecordedAnswerOutlivesTheConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newFixture(t)
		tag := callerRequest{header: header(callerapi.HeaderKind, "tag", callerapi.HeaderIdempotencyKey, "k")}
		w := &slowWriter{header: make(http.Header), limit: 1}
		c.Assert(s.serveTo(w, tag.request()), qt.IsTrue)
		again := s.send(tag)
		c.Check(again.complete(tag), qt.IsTrue, qt.Commentf("%s", again.Body))
		c.Check(s.network.hosts(), qt.HasLen, 1)
		c.Check(s.ledger.bills, qt.HasLen, 1)
		c.Check(s.ledger.completed, qt.HasLen, 1)
		c.Check(s.ledger.completed[0].State, qt.Equals, ledger.StateDone)
	})
}

// TestBalancerLearnsFromWholeAndStreamedAnswers checks that no first-token latency is
// reported for non-streaming answers, and that the reported generation time excludes the
// time to record the bill and to write to the caller.
func TestBalancerLearnsFromWholeAndStreamedAnswers(t *testing.T) {
	for _, stream := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			s := newFixture(t, func(cfg *standin.EngineConfig) { cfg.AnswerTokens = 200 })
			s.ledger.onBill = func(context.Context) error {
				time.Sleep(5 * time.Second)
				return nil
			}
			s.setEngines(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				time.Sleep(50 * time.Millisecond)
				s.engines[0].ServeHTTP(w, r)
			}))
			c.Assert(s.send(callerRequest{stream: stream}).Code, qt.Equals, http.StatusOK)
			first, last := s.balancer.first[0], s.balancer.finished[0]
			c.Check(first.Latency > 0, qt.Equals, stream)
			perToken := last.Generation / time.Duration(last.Tokens)
			c.Check(perToken > 9*time.Millisecond && perToken < 11*time.Millisecond, qt.IsTrue, qt.Commentf("%v per token at 100 a second", perToken))
		})
	}
}

// newHedgedFixture returns a fixture that hedges requests of kind "quick" after about 60 ms.
// The engine that is tried first begins to answer only after the given delay.
func newHedgedFixture(t *testing.T, late time.Duration, first http.HandlerFunc, change ...func(*standin.EngineConfig)) *fixture {
	s := newFixture(t, change...)
	s.measureHedges()
	var asked atomic.Int32
	s.setEngines(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if asked.Add(1) == 1 {
			time.Sleep(late)
			first(w, r)
			return
		}
		s.engines[0].ServeHTTP(w, r)
	}))
	return s
}

func TestHedge(t *testing.T) {
	quick := callerRequest{stream: true, header: header(callerapi.HeaderKind, "quick")}
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		start := time.Now()
		canceled := make(chan time.Duration, 1)
		s := newHedgedFixture(t, 0, func(w http.ResponseWriter, r *http.Request) {
			silent(w, r)
			canceled <- time.Since(start)
		}, func(cfg *standin.EngineConfig) { cfg.AnswerTokens = 100 })
		g := s.send(quick)
		c.Check(g.complete(quick), qt.IsTrue)
		c.Check(time.Since(start) > 500*time.Millisecond, qt.IsTrue)
		c.Check(<-canceled < 100*time.Millisecond, qt.IsTrue, qt.Commentf("the loser is canceled when the winner begins"))
		c.Check(s.network.hosts(), qt.HasLen, 2)
		c.Check(s.balancer.requests[1].NoProbe, qt.IsTrue, qt.Commentf("a hedge must not be used to probe an engine"))
		c.Check(s.ledger.billsOf(g.id()), qt.HasLen, 1)
		c.Check(s.balancer.failed, qt.HasLen, 0, qt.Commentf("a canceled copy is not a failure of its engine"))
		c.Check(s.balancer.check(), qt.Equals, "")
	})
	t.Run("both begin at once", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			s := newFixture(t)
			s.measureHedges()
			start := time.Now()
			s.setEngines(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				time.Sleep(200*time.Millisecond - time.Since(start))
				s.engines[0].ServeHTTP(w, r)
			}))
			g := s.send(quick)
			c.Check(g.complete(quick), qt.IsTrue)
			synctest.Wait()
			c.Check(s.network.hosts(), qt.HasLen, 2)
			c.Check(s.ledger.billsOf(g.id()), qt.HasLen, 1)
			c.Check(s.network.busy(), qt.Equals, 0)
			c.Check(s.balancer.check(), qt.Equals, "")
		})
	})
	t.Run("both fail", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			s := newHedgedFixture(t, 0, silent)
			s.setEngines(http.HandlerFunc(silent))
			g := s.send(quick)
			c.Check(g.failure().Ran, qt.Equals, "unknown")
			synctest.Wait()
			c.Check(s.balancer.check(), qt.Equals, "")
		})
	})
}

// TestLosingCopyThatBeganIsClosed checks that a copy that begins its answer after another
// copy has won is closed, and that its end is reported to the balancer once.
func TestLosingCopyThatBeganIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newFixture(t, func(cfg *standin.EngineConfig) { cfg.AnswerTokens = 5000 })
		tables := s.current.Load()
		kind, _ := tables.Snapshot.Kind("quick")
		org, _ := tables.Snapshot.Organisation("depot")
		chat, f := parseChat([]byte(callerRequest{stream: true}.text()))
		c.Assert(f == nil, qt.IsTrue)
		call := &call{tables: tables, kind: kind, organisation: org, requestID: "r", chat: chat, deadline: time.Now().Add(time.Hour)}
		body, err := chat.forwardBody("depot", cheap)
		c.Assert(err, qt.IsNil)
		l := &launch{call: call, version: cheap, body: body, ran: failure.RanNo}
		results := make(chan sendResult, maxCopies)
		var cancels []context.CancelFunc
		for number := range maxCopies {
			decision, f := s.chooseEngine(l, true)
			c.Assert(f == nil, qt.IsTrue)
			l.markTried(decision.Engine.GetName())
			cancels = append(cancels, s.sendAsync(context.Background(), l, &decision, number, results))
		}
		synctest.Wait()
		winner := <-results
		c.Assert(winner.err == nil, qt.IsTrue)
		c.Assert(results, qt.HasLen, 1, qt.Commentf("the other copy began its answer too"))
		s.cancelLosers(cancels, winner.number, results, 1)
		synctest.Wait()
		c.Check(s.network.busy(), qt.Equals, 1)
		c.Check(s.balancer.finished, qt.HasLen, 1)
		c.Check(s.balancer.finished[0].Cancelled, qt.IsTrue)
		winner.attempt.close()
		s.reportFailed(winner.attempt, &engine.Error{Kind: engine.KindCanceled})
		synctest.Wait()
		c.Check(s.balancer.check(), qt.Equals, "")
	})
}

func TestWithdrawalIsHonouredBeforeEachDispatch(t *testing.T) {
	check := func(c *qt.C, g callerResponse, ran string) {
		c.Check(g.failure().Code, qt.Equals, string(failure.CodeVersionWithdrawn))
		c.Check(g.failure().Ran, qt.Equals, ran)
	}
	t.Run("after the choice of the version", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			s := newFixture(t)
			// The version is withdrawn while the request waits for admission.
			s.Admission.SetCapacity(cheap, 1)
			slow := callerRequest{model: cheap}
			s.setEngines(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				time.Sleep(500 * time.Millisecond)
				s.engines[0].ServeHTTP(w, r)
			}))
			go s.send(slow)
			time.Sleep(100 * time.Millisecond)
			answer := make(chan callerResponse, 1)
			go func() { answer <- s.send(slow) }()
			time.Sleep(100 * time.Millisecond)
			s.withdraw(t, cheap)
			check(c, <-answer, "no")
			c.Check(s.network.hosts(), qt.HasLen, 1)
		})
	})
	t.Run("before a retry", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			s := newFixture(t)
			s.setEngines(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				s.withdraw(t, cheap)
				refusing(w, r)
			}))
			check(c, s.send(callerRequest{model: cheap}), "no")
			c.Check(s.network.hosts(), qt.HasLen, 1)
		})
	})
	t.Run("before a retry of a request that may have run", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			s := newFixture(t)
			s.setEngines(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
				s.withdraw(t, cheap)
				panic(http.ErrAbortHandler)
			}))
			check(c, s.send(callerRequest{model: cheap}), "unknown")
			c.Check(s.network.hosts(), qt.HasLen, 1)
		})
	})
	t.Run("before a hedge", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			var s *fixture
			s = newHedgedFixture(t, 0, func(w http.ResponseWriter, r *http.Request) {
				s.withdraw(t, cheap)
				time.Sleep(time.Second)
				s.engines[0].ServeHTTP(w, r)
			})
			quick := callerRequest{model: cheap, header: header(callerapi.HeaderKind, "quick")}
			c.Check(s.send(quick).complete(quick), qt.IsTrue, qt.Commentf("a request that is running is completed"))
			c.Check(s.network.hosts(), qt.HasLen, 1)
		})
	})
	t.Run("before the escalation of a cascade", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			s := newFixture(t)
			s.setEngines(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				s.withdraw(t, strong)
				reply(w, "cut", "length")
			}))
			g := s.send(callerRequest{header: header(callerapi.HeaderKind, "review")})
			c.Check(g.Code, qt.Equals, http.StatusOK)
			c.Check(g.version(), qt.Equals, cheap)
			c.Check(s.network.hosts(), qt.HasLen, 1)
		})
	})
}

func TestCascade(t *testing.T) {
	tests := []struct {
		name string
		// cheapText and cheapEnd are the text and the finish reason of the first answer.
		// strong serves the second.
		cheapText, cheapEnd string
		strong              http.HandlerFunc
		version             string
		sent                int
		prompt, completion  uint64
		cost                uint64
		accepted            bool
	}{
		{"a good answer is accepted", "80%", "stop", nil, cheap, 1, 10, 3, 2, true},
		{"a flagged answer is escalated, and the sum is billed once", "80", "length",
			func(w http.ResponseWriter, _ *http.Request) { reply(w, "80% full", "stop") }, strong, 2, 20, 6, 21, false},
		{"a second flagged answer is not escalated", "80", "length",
			func(w http.ResponseWriter, _ *http.Request) { reply(w, "80", "length") }, strong, 2, 20, 6, 21, false},
		{"the cheap answer is sent if no engine answers for the strong version", "80", "length", refusing, cheap, 4, 10, 3, 2, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				s := newFixture(t)
				s.setEngines(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if modelOf(c, r) == cheap {
						reply(w, test.cheapText, test.cheapEnd)
						return
					}
					test.strong(w, r)
				}))
				g := s.send(callerRequest{header: header(callerapi.HeaderKind, "review")})
				c.Assert(g.Code, qt.Equals, http.StatusOK, qt.Commentf("%s", g.Body))
				c.Check(g.version(), qt.Equals, test.version)
				c.Check(s.network.hosts(), qt.HasLen, test.sent)
				bills := s.ledger.billsOf(g.id())
				c.Assert(bills, qt.HasLen, 1)
				c.Check(bills[0].Version, qt.Equals, test.version)
				c.Check(bills[0].PromptTokens, qt.Equals, test.prompt)
				c.Check(bills[0].CompletionTokens, qt.Equals, test.completion)
				c.Check(bills[0].CostMicros, qt.Equals, test.cost)
				c.Check((<-s.samples).Accepted, qt.Equals, test.accepted)
				c.Check(s.balancer.check(), qt.Equals, "")
			})
		})
	}
}

// TestServicePath checks that the path below the service's name is passed on unchanged,
// including its escapes and the query.
func TestServicePath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newFixture(t)
		for sent, wanted := range map[string]string{
			"/v1/services/tickets/a/b?c=d":    "/a/b?c=d",
			"/v1/services/tickets/":           "/",
			"/v1/services/tickets/a%20b/c%2f": "/a%20b/c%2f",
		} {
			g := s.send(callerRequest{path: sent, header: header(callerapi.HeaderIdempotencyKey, sent)})
			c.Assert(g.Code, qt.Equals, http.StatusOK, qt.Commentf("%s", g.Body))
			var answer standin.ServiceAnswer
			c.Assert(json.Unmarshal(g.Body.Bytes(), &answer), qt.IsNil)
			c.Check(answer.Path, qt.Equals, wanted)
			c.Check(s.ledger.billsOf(g.id()), qt.HasLen, 1)
		}
	})
}

// TestConcurrentAnswersAreNotMixed checks that each of many concurrent requests gets its own
// answer.
func TestConcurrentAnswersAreNotMixed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFixture(t)
		var sending sync.WaitGroup
		for i := range 30 {
			sending.Go(func() {
				a := callerRequest{stream: i%2 == 0, prompt: strings.Repeat("word ", i+1)}
				g := s.send(a)
				qt.Check(t, g.complete(a), qt.IsTrue, qt.Commentf("%d: %s", i, g.Body))
			})
		}
		sending.Wait()
	})
}
