package router

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/bronzeturn/bronzeturn/admission"
	"github.com/bronzeturn/bronzeturn/balance"
	"github.com/bronzeturn/bronzeturn/callerapi"
	"github.com/bronzeturn/bronzeturn/config"
	"github.com/bronzeturn/bronzeturn/engine"
	"github.com/bronzeturn/bronzeturn/failure"
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/hedge"
	"github.com/bronzeturn/bronzeturn/inventory"
	"github.com/bronzeturn/bronzeturn/ledger"
	"github.com/bronzeturn/bronzeturn/objectstore/memstore"
	"github.com/bronzeturn/bronzeturn/plainservice"
	"github.com/bronzeturn/bronzeturn/quality"
	"github.com/bronzeturn/bronzeturn/quarantine"
	"github.com/bronzeturn/bronzeturn/retry"
	"github.com/bronzeturn/bronzeturn/rollout"
	"github.com/bronzeturn/bronzeturn/selection"
	"github.com/bronzeturn/bronzeturn/standin"
)

// Names, keys and sizes in the configuration of the tests.
const (
	cheap        = "small@1"
	strong       = "large@1"
	withdrawn    = "old@1"
	secret       = "secret@1"
	depotKey     = "key-of-the-depot"
	kioskKey     = "key-of-the-kiosks"
	engineCount  = 3
	maxBodyBytes = 4 << 10
	// serviceAddress is the address of the plain service in the network.
	serviceAddress = "127.0.0.1:100"
)

// earnedRequests is a number of requests that is enough to fill the budgets of retries and
// hedges.
const earnedRequests = 200

// register returns a register in which every engine serves a cheap and a strong version, a
// withdrawn one, and one that only the organisation "kiosks" may use.
func register() *bronzeturnv1.Register {
	r := &bronzeturnv1.Register{
		DataCentres: []*bronzeturnv1.DataCentre{{Name: "hall"}},
		Models:      []*bronzeturnv1.Model{{Name: "small"}, {Name: "large"}, {Name: "old"}, {Name: "secret"}},
		Versions: []*bronzeturnv1.Version{
			{Name: cheap, Model: "small", PromptPriceMicros: 100_000, CompletionPriceMicros: 200_000, PriorQuality: 0.7},
			{Name: strong, Model: "large", PromptPriceMicros: 1_000_000, CompletionPriceMicros: 3_000_000, PriorQuality: 0.95},
			{Name: withdrawn, Model: "old", PromptPriceMicros: 100_000, CompletionPriceMicros: 200_000, PriorQuality: 0.9},
			{Name: secret, Model: "secret", PromptPriceMicros: 100_000, CompletionPriceMicros: 200_000, PriorQuality: 0.9},
		},
		Organisations: []*bronzeturnv1.Organisation{
			{Name: "depot", KeySha256: []string{digest(depotKey)}, AllowedModels: []string{"small", "large", "old"}, AllowedServices: []string{"tickets"}},
			{Name: "kiosks", KeySha256: []string{digest(kioskKey)}, AllowedVersions: []string{cheap, secret}},
		},
		Pools: []*bronzeturnv1.Pool{{Name: "pool"}},
		Services: []*bronzeturnv1.Service{{Name: "tickets", CallPriceMicros: 1000, Instances: []*bronzeturnv1.ServiceInstance{
			{Host: "service-host", Address: serviceAddress, DataCentre: "hall"},
		}}},
	}
	for i := range engineCount {
		r.Engines = append(r.Engines, &bronzeturnv1.Engine{
			Name: engineName(i), Pool: "pool", DataCentre: "hall", Host: "host-of-" + engineName(i),
			Address: engineAddress(i), Versions: []string{cheap, strong, withdrawn, secret}, Slots: 4, TokensPerSecond: 100,
		})
	}
	return r
}

func engineName(number int) string { return fmt.Sprintf("engine-%d", number+1) }

// engineAddress returns the address of an engine in the network. It is not a real listener.
func engineAddress(number int) string { return fmt.Sprintf("127.0.0.1:%d", number+1) }

func digest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

const rulesText = `
kinds:
  - {name: default, quality_target: 0.5, idempotent: true, deadline: 30s, progress_timeout: 2s, expected_completion_tokens: 32}
  - {name: report, quality_target: 0.85, idempotent: true, deadline: 30s, progress_timeout: 2s, expected_completion_tokens: 32}
  - {name: tag, quality_target: 0.5, idempotent: false, deadline: 10s, progress_timeout: 2s, expected_completion_tokens: 8}
  - {name: quick, quality_target: 0.5, idempotent: true, hedge: true, deadline: 10s, progress_timeout: 2s, expected_completion_tokens: 8}
  - {name: review, quality_target: 0.68, idempotent: true, cascade: true, deadline: 30s, progress_timeout: 2s, expected_completion_tokens: 32}
withdrawals:
  - {version: old@1, reason: bad}
`

func rules(t testing.TB) *bronzeturnv1.Rules {
	r, err := config.DecodeRules("rules", []byte(rulesText))
	qt.Assert(t, err, qt.IsNil)
	return r
}

// fixture is a router with the real policies, a real ledger on an in-memory store, and
// stand-in engines that are called without sockets.
type fixture struct {
	*Router
	network  *network
	engines  []*standin.Engine
	balancer *spyBalancer
	ledger   *spyLedger
	current  atomic.Pointer[Tables]
	stale    atomic.Pointer[failure.Error]
	leaving  sync.Map // hosts that get no new work
	samples  chan AnswerSample
	log      *logBuffer
	handler  http.Handler
}

func newFixture(t testing.TB, change ...func(*standin.EngineConfig)) *fixture {
	c := qt.New(t)
	s := &fixture{network: newNetwork(), log: &logBuffer{}, samples: make(chan AnswerSample, 1000)}
	state, err := balance.NewState(balance.DefaultOptions())
	c.Assert(err, qt.IsNil)
	s.balancer = newSpyBalancer(state)
	s.ledger = newSpyLedger(t)
	hedges, err := hedge.New(hedge.DefaultOptions())
	c.Assert(err, qt.IsNil)
	admitting, err := admission.New(admission.Options{
		Name:  "daemon",
		Owner: func(string) (string, bool) { return "daemon", true },
		Dial:  func(string) (connect.HTTPClient, string, bool) { return nil, "", false },
	})
	c.Assert(err, qt.IsNil)
	store := quality.NewStore(quality.Options{})
	s.Router = New(Options{
		DataCentre: "hall", MaxBodyBytes: maxBodyBytes,
		Tables: s.current.Load, CheckFresh: func(time.Time) *failure.Error { return s.stale.Load() },
		Versions: selection.NewPolicy(selection.Options{ExploreShare: -1}, store, rollout.NewController(rollout.Options{})),
		Quality:  store, Engines: s.balancer, Hedges: hedges,
		Retries: retry.DefaultPolicy(), Budget: retry.NewBudget(retry.DefaultBudgetOptions()),
		Breakers:  retry.NewBreakers(retry.DefaultBreakerOptions()),
		Admission: admitting, Ledger: s.ledger, Members: fixtureMembers{s}, Sampler: s,
		Quarantine:   newFixtureQuarantine(t, s.network, s.log),
		EngineClient: engine.New(s.network), ServiceClient: plainservice.New(s.network),
		Seed: 1, Log: zerolog.New(s.log), Registerer: prometheus.NewRegistry(),
	})
	for range earnedRequests {
		s.Budget.Request(time.Now())
	}
	s.handler = s.Handler()
	s.configure(t, func(*bronzeturnv1.Register, *bronzeturnv1.Rules) {})
	for i := range engineCount {
		cfg := standin.EngineConfig{Versions: []string{cheap, strong, withdrawn, secret}, Slots: 4, TokensPerSecond: 100, AnswerTokens: 8}
		for _, f := range change {
			f(&cfg)
		}
		s.engines = append(s.engines, standin.NewEngine(cfg))
		s.network.set(engineAddress(i), s.engines[i])
	}
	s.network.set(serviceAddress, standin.NewPlainService(standin.PlainServiceConfig{Name: "tickets"}))
	return s
}

// maxProbeDuration exceeds the time for which the quarantine probes an engine after a broken
// answer.
const maxProbeDuration = 2 * time.Second

// fixtureQuarantine is the quarantine of a single daemon with an in-memory store.
type fixtureQuarantine struct {
	*quarantine.Quarantine
	// probeStarted is set once an answer has broken off, so that cleanup waits for the probes.
	probeStarted atomic.Bool
}

func newFixtureQuarantine(t testing.TB, n *network, log *logBuffer) *fixtureQuarantine {
	q := &fixtureQuarantine{}
	q.Quarantine = quarantine.New(quarantine.Options{
		Self: "daemon", Dial: n.dial, Store: memstore.New(), Starts: quarantine.NewStartTracker(),
		Publish: func(*bronzeturnv1.CrashReport) {}, Rank: func(quarantine.Hash) int { return 0 },
		Serving: func(string) []string { return []string{cheap, strong, secret} },
		Log:     zerolog.New(log), Registerer: prometheus.NewRegistry(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	var loops sync.WaitGroup
	loops.Go(func() { _ = q.Run(ctx) })
	loops.Go(func() { _ = q.RunWrites(ctx) })
	t.Cleanup(func() {
		if q.probeStarted.Load() {
			time.Sleep(maxProbeDuration)
		}
		cancel()
		loops.Wait()
	})
	return q
}

// AnswerInterrupted implements Quarantine.
func (q *fixtureQuarantine) AnswerInterrupted(e inventory.Engine, c quarantine.Content, now time.Time, blame func()) {
	q.probeStarted.Store(true)
	q.Quarantine.AnswerInterrupted(e, c, now, blame)
}

// configure applies the configuration of the tests after a change.
func (s *fixture) configure(t testing.TB, change func(*bronzeturnv1.Register, *bronzeturnv1.Rules)) {
	reg, rule := register(), rules(t)
	change(reg, rule)
	snapshot, err := config.NewSnapshot(1, proto.CloneOf(reg), proto.CloneOf(rule))
	qt.Assert(t, err, qt.IsNil)
	state := s.balancer.State
	tables := &Tables{Snapshot: snapshot, Versions: selection.NewPlan(snapshot.Register(), snapshot.Rules()), Engines: state.Plan(snapshot.Register(), nil)}
	s.Versions.SetPlan(tables.Versions)
	s.current.Store(tables)
}

// measureHedges reports enough latencies that requests of kind "quick" are hedged after
// about 60 ms.
func (s *fixture) measureHedges() {
	for range earnedRequests {
		s.Hedges.Request(time.Now())
		s.Hedges.Answered(hedge.Answered{Kind: "quick", Latency: 60 * time.Millisecond})
	}
}

// withdraw applies a configuration in which a version is withdrawn.
func (s *fixture) withdraw(t testing.TB, version string) {
	s.configure(t, func(_ *bronzeturnv1.Register, r *bronzeturnv1.Rules) {
		r.Withdrawals = append(r.Withdrawals, &bronzeturnv1.Withdrawal{Version: version})
	})
}

// setEngines sets the handler of every engine.
func (s *fixture) setEngines(h http.Handler) {
	for i := range engineCount {
		s.network.set(engineAddress(i), h)
	}
}

// Sample implements Sampler. It drops samples when the channel is full.
func (s *fixture) Sample(a AnswerSample) {
	select {
	case s.samples <- a:
	default:
	}
}

// executions returns how often a request ran, summed over all engines.
func (s *fixture) executions(requestID string) int {
	total := 0
	for _, e := range s.engines {
		total += e.Executions()[requestID]
	}
	return total
}

// fixtureMembers implements Members.
type fixtureMembers struct{ s *fixture }

// Entries implements Members.
func (m fixtureMembers) Entries(*rand.Rand) ([]string, time.Duration) {
	return []string{"other:1"}, time.Minute
}

// BackendLeaving implements Members.
func (m fixtureMembers) BackendLeaving(host string) bool {
	_, leaving := m.s.leaving.Load(host)
	return leaving
}

// spyBalancer wraps the real balancer. It records the calls and counts the requests in
// progress per engine.
type spyBalancer struct {
	*balance.State
	mu       sync.Mutex
	open     map[string]int
	fault    string
	finished []balance.Finished
	failed   []balance.Failed
	first    []balance.FirstToken
	requests []balance.Request
	// chosen is called after each choice, unless it is nil.
	chosen func()
}

func newSpyBalancer(s *balance.State) *spyBalancer {
	return &spyBalancer{State: s, open: make(map[string]int)}
}

// Choose implements Balancer.
func (b *spyBalancer) Choose(p *balance.Plan, r *balance.Request, now time.Time, rng *rand.Rand) (balance.Decision, bool) {
	b.mu.Lock()
	b.requests = append(b.requests, *r)
	chosen := b.chosen
	b.mu.Unlock()
	d, ok := b.State.Choose(p, r, now, rng)
	if chosen != nil {
		chosen()
	}
	return d, ok
}

// Dispatched implements Balancer.
func (b *spyBalancer) Dispatched(ev balance.Dispatched) {
	b.State.Dispatched(ev)
	b.count(ev.Engine, 1)
}

// FirstToken implements Balancer.
func (b *spyBalancer) FirstToken(ev balance.FirstToken) {
	b.State.FirstToken(ev)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.first = append(b.first, ev)
}

// Finished implements Balancer.
func (b *spyBalancer) Finished(ev balance.Finished) {
	b.State.Finished(ev)
	b.count(ev.Engine, -1)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.finished = append(b.finished, ev)
}

// Failed implements Balancer.
func (b *spyBalancer) Failed(ev balance.Failed) {
	b.State.Failed(ev)
	b.count(ev.Engine, -1)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failed = append(b.failed, ev)
}

func (b *spyBalancer) count(engine string, by int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open[engine] += by
	if b.open[engine] < 0 {
		b.fault = engine + " has more ends than requests"
	}
}

// check must be called once all requests have ended. It describes an engine whose reported
// ends do not match the requests sent to it, or returns "".
func (b *spyBalancer) check() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	for engine, open := range b.open {
		if open != 0 {
			return fmt.Sprintf("%s: %d requests without an end", engine, open)
		}
	}
	return b.fault
}

// spyLedger wraps the real ledger of a single daemon. It records bills and outcomes, and
// can make bills fail or block.
type spyLedger struct {
	*ledger.Ledger
	mu        sync.Mutex
	bills     []ledger.Bill
	completed []ledger.CompleteRequest
	// instant discards bills, so that only the router is measured.
	instant bool
	// onBill is called before each bill, unless it is nil. It may return an error or block.
	onBill func(context.Context) error
}

// singleDaemon makes one daemon the owner of every key.
type singleDaemon struct{}

// Owner implements ledger.Owners.
func (singleDaemon) Owner(string) (string, bool) { return "daemon", true }

// Dial implements ledger.Dialer.
func (singleDaemon) Dial(string) (connect.HTTPClient, string, bool) { return nil, "", false }

func newSpyLedger(t testing.TB) *spyLedger {
	l, err := ledger.New(ledger.Config{
		Self: "daemon", Store: memstore.New(), Owners: singleDaemon{}, Dialer: singleDaemon{}, Log: zerolog.Nop(),
		Rand: rand.New(rand.NewPCG(1, 1)), Shards: 4, Slots: 16,
	})
	qt.Assert(t, err, qt.IsNil)
	l.Start()
	t.Cleanup(func() { _ = l.Stop() })
	return &spyLedger{Ledger: l}
}

// Bill implements Ledger.
func (l *spyLedger) Bill(ctx context.Context, b ledger.Bill) (ledger.Durability, error) {
	if l.instant {
		return ledger.DurabilityStore, nil
	}
	l.mu.Lock()
	onBill := l.onBill
	l.mu.Unlock()
	if onBill != nil {
		if err := onBill(ctx); err != nil {
			return 0, err
		}
	}
	d, err := l.Ledger.Bill(ctx, b)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bills = append(l.bills, b)
	return d, err
}

// CompleteClaim implements Ledger.
func (l *spyLedger) CompleteClaim(ctx context.Context, r ledger.CompleteRequest) (ledger.Durability, error) {
	l.mu.Lock()
	l.completed = append(l.completed, r)
	l.mu.Unlock()
	return l.Ledger.CompleteClaim(ctx, r)
}

// billsOf returns the bills of a request.
func (l *spyLedger) billsOf(requestID string) []ledger.Bill {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []ledger.Bill
	for _, b := range l.bills {
		if b.RequestID == requestID {
			found = append(found, b)
		}
	}
	return found
}

// logBuffer is a concurrency-safe buffer of log lines.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// callerRequest is one request of a caller. Zero fields take a default value.
type callerRequest struct {
	ctx    context.Context
	key    string // "none" for no Authorization header
	body   string
	path   string
	method string
	stream bool
	model  string
	prompt string
	header map[string]string
}

func (a callerRequest) text() string {
	if a.body != "" {
		return a.body
	}
	prompt := a.prompt
	if prompt == "" {
		prompt = "battery of bike 7?"
	}
	body := map[string]any{"messages": []any{map[string]any{"role": "user", "content": prompt}}, "stream": a.stream}
	if a.model != "" {
		body["model"] = a.model
	}
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return string(data)
}

func (a callerRequest) request() *http.Request {
	method, path, ctx := a.method, a.path, a.ctx
	if method == "" {
		method = http.MethodPost
	}
	if path == "" {
		path = callerapi.PathChatCompletions
	}
	if ctx == nil {
		ctx = context.Background()
	}
	r := httptest.NewRequest(method, path, strings.NewReader(a.text())).WithContext(ctx)
	switch a.key {
	case "":
		r.Header.Set("Authorization", "Bearer "+depotKey)
	case "none":
	default:
		r.Header.Set("Authorization", "Bearer "+a.key)
	}
	for name, value := range a.header {
		r.Header.Set(name, value)
	}
	return r
}

// callerResponse is what a caller received. cut is set if the connection was aborted.
type callerResponse struct {
	*httptest.ResponseRecorder
	cut bool
}

// send sends a request and returns the complete response.
func (s *fixture) send(a callerRequest) callerResponse {
	w := httptest.NewRecorder()
	return callerResponse{w, s.serveTo(w, a.request())}
}

// serveTo serves a request and reports whether the connection was aborted.
func (s *fixture) serveTo(w http.ResponseWriter, r *http.Request) (cut bool) {
	defer func() {
		if recovered := recover(); recovered != nil {
			if recovered != http.ErrAbortHandler {
				panic(recovered)
			}
			cut = true
		}
	}()
	s.handler.ServeHTTP(w, r)
	return false
}

func (g callerResponse) id() string { return g.Result().Header.Get(callerapi.HeaderRequestID) }

func (g callerResponse) version() string { return g.Result().Header.Get(callerapi.HeaderVersion) }

// failure returns the error in the body, which may be the last event of a stream.
func (g callerResponse) failure() callerapi.ErrorDetail {
	var body callerapi.ErrorBody
	text := g.Body.String()
	if at := strings.LastIndex(text, "data: "); at >= 0 {
		text = text[at+len("data: "):]
	}
	_ = json.Unmarshal([]byte(text), &body) // If the body holds no error, the detail is empty.
	return body.Error
}

// content returns the text of a streamed or non-streaming answer.
func (g callerResponse) content() string {
	var text strings.Builder
	for line := range strings.Lines(g.Body.String()) {
		var part completion
		if json.Unmarshal([]byte(strings.TrimPrefix(line, "data: ")), &part) != nil {
			continue // Blank lines and the [DONE] marker are not JSON.
		}
		for _, choice := range part.Choices {
			text.WriteString(choice.Message.Content + choice.Delta.Content)
		}
	}
	return text.String()
}

// complete reports whether the caller got the complete answer to its request.
func (g callerResponse) complete(a callerRequest) bool {
	if g.cut || g.Code != http.StatusOK || (a.stream && !strings.HasSuffix(g.Body.String(), "data: [DONE]\n\n")) {
		return false
	}
	return standin.CheckAnswer([]byte(a.text()), g.content()) == nil
}
