package occupancy

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/bronzeturn/bronzeturn/backoff"
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1/bronzeturnv1connect"
)

const (
	// askTimeout bounds what asking may add to a request. A keeper answers within
	// one way there and back; on small hosts one in a hundred takes over 25 ms.
	askTimeout = 50 * time.Millisecond
	// tellTimeout bounds the telling.
	tellTimeout = 500 * time.Millisecond
	// tellInterval is the time between two rounds of telling. A request that was
	// sent is told of at once, since it is what others have to know.
	tellInterval = 60 * time.Millisecond
	// refreshInterval is how often work that goes on is told of again, for a keeper
	// that is new.
	refreshInterval = time.Second
	// silentAfter is how many calls in a row a keeper leaves unanswered before it
	// counts as silent, avoidFor how long it is then not asked again.
	silentAfter = 3
	avoidFor    = 500 * time.Millisecond
)

// Options are what a Sharer needs. All fields are required.
type Options struct {
	// Self is this daemon's name.
	Self string
	// Keeper returns the daemon that an engine is in the care of, "" for none.
	Keeper func(engine string) string
	// Client opens calls to a daemon, nil when its address is not known.
	Client func(daemon string) bronzeturnv1connect.OccupancyServiceClient
	// InFlight returns this daemon's own work at an engine, EachInFlight calls f for
	// every engine where there is any.
	InFlight     func(engine string) (requests, tokens int64)
	EachInFlight func(f func(engine string, requests, tokens int64))
	Store        *Store
	Log          zerolog.Logger
	Registerer   prometheus.Registerer
}

// Client tells the keepers of this daemon's work and asks them for the others'. It
// is safe for concurrent use.
type Client struct {
	Options
	metrics  *metrics
	sequence atomic.Uint64
	// wake tells Run that there is something to tell.
	wake chan struct{}

	mu sync.Mutex
	// changed are the engines to tell of, by keeper, with the delay to report.
	changed map[string]map[string]time.Duration
	// failing are the keepers that did not answer their last calls.
	failing map[string]failing
}

// failing is how often in a row a keeper did not answer, and when it did so last.
type failing struct {
	times int
	at    time.Time
}

// New returns a Sharer. Telling begins with Run.
func New(o Options) *Client {
	s := &Client{Options: o, metrics: newMetrics(o.Registerer), wake: make(chan struct{}, 1), changed: make(map[string]map[string]time.Duration), failing: make(map[string]failing)}
	// Sequences of a daemon rise over its restarts.
	s.sequence.Store(uint64(time.Now().UnixMilli()) << 20)
	return s
}

// hash names an engine between daemons.
func hash(engine string) uint32 { return uint32(xxhash.Sum64String(engine)) }

// LoadChanged notes that the own work at an engine has changed.
func (s *Client) LoadChanged(engine string) { s.note(engine, 0) }

// DelayObserved notes how much later than expected an engine began an answer.
func (s *Client) DelayObserved(engine string, by time.Duration) { s.note(engine, by) }

// note returns the engine's keeper, "" when there is none to tell.
func (s *Client) note(engine string, late time.Duration) string {
	keeper := s.Keeper(engine)
	if keeper == "" {
		return ""
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	engines := s.changed[keeper]
	if engines == nil {
		engines = make(map[string]time.Duration)
		s.changed[keeper] = engines
	}
	engines[engine] = max(engines[engine], late)
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return keeper
}

// RequestSent notes a request that was sent to an engine and tells its keeper at once.
func (s *Client) RequestSent(ctx context.Context, engine string) {
	switch keeper := s.note(engine, 0); keeper {
	case "":
	case s.Self:
		s.tell(ctx, keeper)
	default:
		go s.tell(ctx, keeper)
	}
}

// Run tells the keepers of changes until ctx ends. It sleeps while there are none: a
// daemon of a large fleet has a few requests a second, and a look every tellInterval
// would wake it three times as often.
func (s *Client) Run(ctx context.Context) error {
	refresh := time.NewTimer(backoff.UntilTick(refreshInterval))
	defer refresh.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-refresh.C:
			refresh.Reset(backoff.UntilTick(refreshInterval))
			s.EachInFlight(func(engine string, _, _ int64) { s.LoadChanged(engine) })
			s.Store.Expire(time.Now())
			continue
		case <-s.wake:
		}
		if backoff.Sleep(ctx, tellInterval) != nil {
			return nil
		}
		var round sync.WaitGroup
		for _, keeper := range s.due() {
			round.Go(func() { s.tell(ctx, keeper) })
		}
		round.Wait()
	}
}

// due returns the keepers that there is something to tell.
func (s *Client) due() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	keepers := make([]string, 0, len(s.changed))
	for keeper := range s.changed {
		keepers = append(keepers, keeper)
	}
	return keepers
}

// tell tells one keeper what has changed.
func (s *Client) tell(ctx context.Context, keeper string) {
	m := s.message(keeper)
	if len(m.GetOwn()) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	s.exchange(ctx, keeper, m)
}

// message takes what there is to tell a keeper.
func (s *Client) message(keeper string) *bronzeturnv1.ShareRequest {
	s.mu.Lock()
	engines := s.changed[keeper]
	delete(s.changed, keeper)
	s.mu.Unlock()
	m := &bronzeturnv1.ShareRequest{Daemon: s.Self, Sequence: s.sequence.Add(1)}
	for engine, late := range engines {
		requests, tokens := s.InFlight(engine)
		m.Own = append(m.Own, &bronzeturnv1.EngineLoad{
			Engine: hash(engine), Requests: uint32(requests), Tokens: uint32(tokens), LateMs: uint32(late.Milliseconds()),
		})
	}
	return m
}

// exchange calls a keeper, or the own book, and returns what it answered. A keeper
// that fails is left alone for a while; what it was to be told follows with the
// next refresh.
func (s *Client) exchange(ctx context.Context, keeper string, m *bronzeturnv1.ShareRequest) []*bronzeturnv1.EngineLoad {
	if keeper == s.Self {
		return s.Store.exchange(m, time.Now())
	}
	client := s.Client(keeper)
	if client == nil || s.isSilent(keeper) {
		s.metrics.calls.WithLabelValues(outcomeLeft).Inc()
		return nil
	}
	began := time.Now()
	answer, err := client.Share(ctx, connect.NewRequest(m))
	s.metrics.seconds.Observe(time.Since(began).Seconds())
	if err != nil {
		s.failed(keeper, err)
		return nil
	}
	s.answered(keeper)
	return answer.Msg.GetOthers()
}

// isSilent tells whether a keeper did not answer lately.
func (s *Client) isSilent(keeper string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.failing[keeper]
	return f.times >= silentAfter && time.Since(f.at) <= avoidFor
}

// failed notes that a keeper did not answer.
func (s *Client) failed(keeper string, err error) {
	s.metrics.calls.WithLabelValues(outcomeFailed).Inc()
	s.mu.Lock()
	times := s.failing[keeper].times + 1
	s.failing[keeper] = failing{times: times, at: time.Now()}
	s.mu.Unlock()
	if times == silentAfter {
		s.Log.Info().Err(err).Str("keeper", keeper).Msg("keeper of engines does not answer")
	}
}

// answered notes that a keeper answered.
func (s *Client) answered(keeper string) {
	s.metrics.calls.WithLabelValues(outcomeAnswered).Inc()
	s.mu.Lock()
	times := s.failing[keeper].times
	delete(s.failing, keeper)
	s.mu.Unlock()
	if times >= silentAfter {
		s.Log.Info().Str("keeper", keeper).Msg("keeper of engines answers again")
	}
}

// EngineLoad is the others' work at one engine.
type EngineLoad struct {
	Engine string
	Load   Load
}

// QueryLoads returns the others' work at the engines whose keepers answer in time.
func (s *Client) QueryLoads(ctx context.Context, engines []string) []EngineLoad {
	byKeeper := make(map[string][]string)
	for _, engine := range engines {
		if keeper := s.Keeper(engine); keeper != "" {
			byKeeper[keeper] = append(byKeeper[keeper], engine)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	answers := make(chan []EngineLoad, len(byKeeper))
	for keeper, asked := range byKeeper {
		if keeper == s.Self {
			answers <- s.askOne(ctx, keeper, asked)
			continue
		}
		go func() { answers <- s.askOne(ctx, keeper, asked) }()
	}
	var all []EngineLoad
	for range byKeeper {
		all = append(all, <-answers...)
	}
	return all
}

// askOne asks one keeper, and tells it what has changed by the way.
func (s *Client) askOne(ctx context.Context, keeper string, engines []string) []EngineLoad {
	m := s.message(keeper)
	for _, engine := range engines {
		m.Asked = append(m.Asked, hash(engine))
	}
	others := s.exchange(ctx, keeper, m)
	if len(others) != len(engines) {
		return nil
	}
	answers := make([]EngineLoad, len(engines))
	for i, o := range others {
		answers[i] = EngineLoad{Engine: engines[i], Load: workOf(o)}
	}
	return answers
}

func workOf(m *bronzeturnv1.EngineLoad) Load {
	return Load{
		Requests: int64(m.GetRequests()), Tokens: int64(m.GetTokens()),
		Delay: time.Duration(m.GetLateMs()) * time.Millisecond,
	}
}
