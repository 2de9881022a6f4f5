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
	// queryTimeout bounds the latency that a query may add to a request. A keeper
	// answers within one network round trip; on small hosts one call in a hundred
	// takes over 25 ms.
	queryTimeout = 50 * time.Millisecond
	// reportTimeout bounds a call that reports load.
	reportTimeout = 500 * time.Millisecond
	// reportInterval is the time between two rounds of reports. A request that was
	// sent is reported at once, since other daemons' choices depend on it most.
	reportInterval = 60 * time.Millisecond
	// refreshInterval is how often load that persists is reported again, for the case
	// that the keeper is new. While slots are reserved it is slotRefreshInterval, so that the
	// requests of a daemon that has died are not counted for long.
	refreshInterval     = time.Second
	slotRefreshInterval = 500 * time.Millisecond
	// maxFailures is the number of consecutive failed calls after which a keeper is
	// avoided, avoidFor how long it then gets no calls.
	maxFailures = 3
	avoidFor    = 500 * time.Millisecond
)

// Options are the dependencies of a Client. All fields are required.
type Options struct {
	// Self is this daemon's name.
	Self string
	// Keeper returns the daemon that is the keeper of an engine, "" for none.
	Keeper func(engine string) string
	// Backups returns further daemons that grant slots of an engine while the keeper does not.
	Backups func(engine string) []string
	// Reserves reports whether slots of an engine are reserved, so that its backups count the load
	// there too, and ReservesAny whether those of any engine are.
	Reserves    func(engine string) bool
	ReservesAny func() bool
	// Client returns the service client for a daemon, nil when its address is not
	// known.
	Client func(daemon string) bronzeturnv1connect.OccupancyServiceClient
	// InFlight returns this daemon's own load at an engine, EachInFlight calls f for
	// every engine with any.
	InFlight     func(engine string) (requests, tokens int64)
	EachInFlight func(f func(engine string, requests, tokens int64))
	Store        *Store
	// Settled reports whether this daemon has been a keeper of an engine long enough to grant
	// slots of it.
	Settled    func(engine string) bool
	Log        zerolog.Logger
	Registerer prometheus.Registerer
}

// Client reports this daemon's load to the keepers and queries them for that of the
// other daemons. It is safe for concurrent use.
type Client struct {
	Options
	metrics  *metrics
	sequence atomic.Uint64
	pace     paceSums
	// wake signals Run that there is load to report.
	wake  chan struct{}
	awake wakefulness

	mu sync.Mutex
	// changed holds the engines whose load is to be reported, by keeper.
	changed map[string]map[string]change
	// failing holds the keepers whose last call failed.
	failing map[string]failing
	// undecided holds the keepers that did not decide when they were asked for a slot or a permit,
	// with the time of the last one.
	undecided map[string]time.Time
}

// change is what is to be reported of an engine besides its load.
type change struct {
	delay   time.Duration
	refused int
}

// failing is the number of consecutive failed calls to a keeper, and the time of
// the last one.
type failing struct {
	times int
	at    time.Time
}

// New returns a Client. Periodic reports begin with Run.
func New(o Options) *Client {
	c := &Client{Options: o, metrics: newMetrics(o.Registerer), wake: make(chan struct{}, 1), changed: make(map[string]map[string]change), failing: make(map[string]failing), undecided: make(map[string]time.Time)}
	// Sequence numbers of a daemon keep increasing across its restarts.
	c.sequence.Store(uint64(time.Now().UnixMilli()) << 20)
	return c
}

// hash returns the identifier of an engine in messages between daemons.
func hash(engine string) uint32 { return uint32(xxhash.Sum64String(engine)) }

// LoadChanged records that this daemon's load at an engine has changed, to be
// reported in the next round.
func (c *Client) LoadChanged(engine string) { c.markChanged(engine, change{}) }

// DelayObserved records how much later than expected an engine began an answer, to
// be reported in the next round.
func (c *Client) DelayObserved(engine string, delay time.Duration) {
	c.markChanged(engine, change{delay: delay})
}

// markChanged marks the load of an engine to be reported. It returns the daemons to report it to.
func (c *Client) markChanged(engine string, more change) []string {
	keepers := c.counters(engine)
	for _, keeper := range keepers {
		c.note(keeper, engine, more)
	}
	select {
	case c.wake <- struct{}{}:
	default:
	}
	return keepers
}

// note adds to what is to be reported of an engine to a keeper.
func (c *Client) note(keeper, engine string, more change) {
	c.mu.Lock()
	defer c.mu.Unlock()
	engines := c.changed[keeper]
	if engines == nil {
		engines = make(map[string]change)
		c.changed[keeper] = engines
	}
	known := engines[engine]
	engines[engine] = change{delay: max(known.delay, more.delay), refused: known.refused + more.refused}
}

// counters returns the daemons that count the load at an engine.
func (c *Client) counters(engine string) []string {
	if c.Reserves(engine) {
		return c.grantors(engine)
	}
	if keeper := c.Keeper(engine); keeper != "" {
		return []string{keeper}
	}
	return nil
}

// grantors returns the daemons that grant slots of an engine, its keeper first.
func (c *Client) grantors(engine string) []string {
	keeper := c.Keeper(engine)
	if keeper == "" {
		return nil
	}
	return append([]string{keeper}, c.Backups(engine)...)
}

// RequestSent records that a request was sent to an engine, and reports it to the
// keeper at once.
func (c *Client) RequestSent(ctx context.Context, engine string) {
	c.reportAtOnce(ctx, engine)
}

// SlotFreed records that a request for which a slot was reserved has ended, and reports it to the
// keeper at once.
func (c *Client) SlotFreed(ctx context.Context, engine string) { c.reportAtOnce(ctx, engine) }

// RequestRefused records that an engine has refused a request for which a slot was reserved. It is
// reported with the end of the request, so that the slot is not granted again before the room is
// lowered.
func (c *Client) RequestRefused(engine string) {
	for _, keeper := range c.counters(engine) {
		c.note(keeper, engine, change{refused: 1})
	}
}

// reportAtOnce reports the load at an engine without waiting for the next round.
func (c *Client) reportAtOnce(ctx context.Context, engine string) {
	for _, keeper := range c.markChanged(engine, change{}) {
		if keeper == c.Self {
			c.report(ctx, keeper)
			continue
		}
		go c.report(ctx, keeper)
	}
}

// KeepersChanged has the load at all engines reported, since some of them have other keepers now.
func (c *Client) KeepersChanged() {
	c.EachInFlight(func(engine string, _, _ int64) { c.LoadChanged(engine) })
}

// Run reports changes to the keepers until ctx ends. It blocks while there are none:
// a daemon of a large fleet gets a few requests per second, and polling every
// reportInterval would wake it three times as often.
func (c *Client) Run(ctx context.Context) error {
	refresh := time.NewTimer(backoff.UntilTick(refreshInterval))
	defer refresh.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-refresh.C:
			interval := refreshInterval
			if c.ReservesAny() {
				interval = slotRefreshInterval
			}
			refresh.Reset(backoff.UntilTick(interval))
			c.awake.tick(interval, time.Now())
			c.KeepersChanged()
			c.Store.Expire(time.Now())
			continue
		case <-c.wake:
		}
		if backoff.Sleep(ctx, reportInterval) != nil {
			return nil
		}
		var round sync.WaitGroup
		for _, keeper := range c.due() {
			round.Go(func() { c.report(ctx, keeper) })
		}
		round.Wait()
	}
}

// due returns the keepers that have load to be reported.
func (c *Client) due() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	keepers := make([]string, 0, len(c.changed))
	for keeper := range c.changed {
		keepers = append(keepers, keeper)
	}
	return keepers
}

// report reports the changed load to one keeper.
func (c *Client) report(ctx context.Context, keeper string) {
	m := c.message(keeper)
	if len(m.GetOwn()) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	c.exchange(ctx, keeper, m)
}

// message returns the report for a keeper and clears its changes.
func (c *Client) message(keeper string) *bronzeturnv1.ShareRequest {
	c.mu.Lock()
	engines := c.changed[keeper]
	delete(c.changed, keeper)
	c.mu.Unlock()
	m := &bronzeturnv1.ShareRequest{Daemon: c.Self}
	for engine, what := range engines {
		requests, tokens := c.InFlight(engine)
		m.Own = append(m.Own, &bronzeturnv1.EngineLoad{
			Engine: hash(engine), Requests: uint32(requests), Tokens: uint32(tokens), LateMs: uint32(what.delay.Milliseconds()),
			Refused: uint32(what.refused),
		})
	}
	c.pace.complete(m, &c.sequence, time.Now())
	return m
}

// exchange calls a keeper, or the own store when this daemon is the keeper, and
// returns the answer. A failing keeper is avoided for a while; the load that it was
// not sent follows with the next refresh.
func (c *Client) exchange(ctx context.Context, keeper string, m *bronzeturnv1.ShareRequest) []*bronzeturnv1.EngineLoad {
	if keeper == c.Self {
		return c.Store.exchange(m, time.Now())
	}
	client := c.callable(keeper)
	if client == nil {
		return nil
	}
	began := time.Now()
	answer, err := client.Share(ctx, connect.NewRequest(m))
	c.metrics.seconds.Observe(time.Since(began).Seconds())
	if err != nil {
		c.failed(keeper, err)
		return nil
	}
	c.answered(keeper)
	return answer.Msg.GetOthers()
}

// undecidedRetry is the time after which a slot is asked for again if no keeper has decided.
const undecidedRetry = 100 * time.Millisecond

// undecidedFor is the time for which a keeper that has not decided is not asked again.
const undecidedFor = 250 * time.Millisecond

// Reserve asks the keeper of an engine for a slot, and its backups if the keeper does not decide. The
// new request must be part of InFlight already.
func (c *Client) Reserve(ctx context.Context, engine string, slots int, tolerated float64) Grant {
	grant, decided := c.ask(c.grantors(engine), func(keeper string) (Grant, bool) { return c.reserveAt(ctx, keeper, engine, slots, tolerated) })
	if !decided {
		return Grant{RetryAfter: undecidedRetry}
	}
	return grant
}

// ask asks keepers one after the other until one of them decides.
func (c *Client) ask(keepers []string, askOne func(keeper string) (grant Grant, decided bool)) (grant Grant, decided bool) {
	for _, keeper := range keepers {
		if c.isUndecided(keeper) {
			continue
		}
		if grant, decided := askOne(keeper); decided {
			return grant, true
		}
		c.mu.Lock()
		c.undecided[keeper] = time.Now()
		c.mu.Unlock()
	}
	return Grant{}, false
}

// isUndecided reports whether a keeper that was asked recently has not decided.
func (c *Client) isUndecided(keeper string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, ok := c.undecided[keeper]
	if ok && time.Since(at) > undecidedFor {
		delete(c.undecided, keeper)
		return false
	}
	return ok
}

// reserveAt asks one daemon for a slot, and reports whether it has decided.
func (c *Client) reserveAt(ctx context.Context, keeper, engine string, slots int, tolerated float64) (grant Grant, decided bool) {
	requests, _ := c.InFlight(engine)
	m := &bronzeturnv1.ReserveRequest{
		Daemon: c.Self, Sequence: c.sequence.Add(1), Engine: engine, Slots: uint32(slots), InProgress: uint32(requests), ToleratedPerSecond: tolerated,
	}
	if keeper == c.Self {
		return c.Store.reserveSettled(m, c.MayGrant, time.Now())
	}
	client := c.callable(keeper)
	if client == nil {
		return Grant{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	answer, err := client.Reserve(ctx, connect.NewRequest(m))
	if connect.CodeOf(err) == connect.CodeUnimplemented {
		return Grant{Granted: requests <= 1}, true // The keeper runs an earlier version.
	}
	if err != nil {
		c.failed(keeper, err)
		return Grant{}, false
	}
	c.answered(keeper)
	return Grant{Granted: answer.Msg.GetGranted(), RetryAfter: time.Duration(answer.Msg.GetRetryAfterMs()) * time.Millisecond}, answer.Msg.GetSettled()
}

// callable returns the client for a keeper, or nil if it is not known or gets no calls now.
func (c *Client) callable(keeper string) bronzeturnv1connect.OccupancyServiceClient {
	client := c.Client(keeper)
	if client == nil || c.isAvoided(keeper) {
		c.metrics.calls.WithLabelValues(outcomeLeftOut).Inc()
		return nil
	}
	return client
}

// isAvoided reports whether a keeper gets no calls because the last ones failed.
func (c *Client) isAvoided(keeper string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.failing[keeper]
	return f.times >= maxFailures && time.Since(f.at) <= avoidFor
}

// failed records that a call to a keeper failed.
func (c *Client) failed(keeper string, err error) {
	c.metrics.calls.WithLabelValues(outcomeFailed).Inc()
	c.mu.Lock()
	times := c.failing[keeper].times + 1
	c.failing[keeper] = failing{times: times, at: time.Now()}
	c.mu.Unlock()
	if times == maxFailures {
		c.Log.Info().Err(err).Str("keeper", keeper).Msg("keeper of engines does not answer")
	}
}

// answered records that a keeper answered.
func (c *Client) answered(keeper string) {
	c.metrics.calls.WithLabelValues(outcomeAnswered).Inc()
	c.mu.Lock()
	times := c.failing[keeper].times
	delete(c.failing, keeper)
	c.mu.Unlock()
	if times >= maxFailures {
		c.Log.Info().Str("keeper", keeper).Msg("keeper of engines answers again")
	}
}

// EngineLoad is the load of the other daemons at one engine, and its pace as measured by
// all daemons.
type EngineLoad struct {
	Engine string
	Load   Load
	Pace   Pace
}

// QueryLoads returns the load of the other daemons at those of the engines whose
// keepers answer in time.
func (c *Client) QueryLoads(ctx context.Context, engines []string) []EngineLoad {
	byKeeper := make(map[string][]string)
	for _, engine := range engines {
		if keeper := c.Keeper(engine); keeper != "" {
			byKeeper[keeper] = append(byKeeper[keeper], engine)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	answers := make(chan []EngineLoad, len(byKeeper))
	for keeper, asked := range byKeeper {
		if keeper == c.Self {
			answers <- c.queryKeeper(ctx, keeper, asked)
			continue
		}
		go func() { answers <- c.queryKeeper(ctx, keeper, asked) }()
	}
	var all []EngineLoad
	for range byKeeper {
		all = append(all, <-answers...)
	}
	return all
}

// queryKeeper queries one keeper. The call also reports the changed load.
func (c *Client) queryKeeper(ctx context.Context, keeper string, engines []string) []EngineLoad {
	m := c.message(keeper)
	for _, engine := range engines {
		m.Asked = append(m.Asked, hash(engine))
	}
	others := c.exchange(ctx, keeper, m)
	if len(others) != len(engines) {
		return nil
	}
	answers := make([]EngineLoad, len(engines))
	for i, o := range others {
		answers[i] = EngineLoad{Engine: engines[i], Load: loadOf(o), Pace: paceOf(o)}
	}
	return answers
}

func loadOf(m *bronzeturnv1.EngineLoad) Load {
	return Load{
		Requests: int64(m.GetRequests()), Tokens: int64(m.GetTokens()),
		Delay: time.Duration(m.GetLateMs()) * time.Millisecond,
	}
}
