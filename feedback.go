package bronzeturn

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/bronzeturn/bronzeturn/backoff"
	"github.com/bronzeturn/bronzeturn/balance"
	"github.com/bronzeturn/bronzeturn/engine"
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/rating"
	"github.com/bronzeturn/bronzeturn/router"
)

// Bounds of the feedback from outside systems.
const (
	// reportCallsPerSecond bounds the load reports that a daemon asks for.
	reportCallsPerSecond = 12
	// reportInterval is the least time between two reports of one engine.
	reportInterval = time.Second
	reportTimeout  = 2 * time.Second
	// sampleQueue bounds the samples that wait for the rating service. More are
	// dropped: ratings are samples anyway.
	sampleQueue   = 256
	sampleTimeout = 2 * time.Second
)

// loadReporter asks the visible engines for their load, in turn.
type loadReporter struct {
	reports   *engine.ControlClient
	state     *balance.State
	occupancy *occupancy
	engines   func() []*bronzeturnv1.Engine
	log       zerolog.Logger

	mu sync.Mutex
	// sequences holds the newest cache event seen of each engine.
	sequences map[string]uint64
}

// run asks one engine after the other until ctx ends.
func (l *loadReporter) run(ctx context.Context) error {
	l.sequences = make(map[string]uint64)
	for ctx.Err() == nil {
		engines := l.engines()
		if len(engines) == 0 {
			_ = backoff.Sleep(ctx, reportInterval) // The loop sees that ctx ended.
			continue
		}
		l.askAll(ctx, engines)
	}
	return nil
}

// askAll asks each engine once, spread over at least reportInterval.
func (l *loadReporter) askAll(ctx context.Context, engines []*bronzeturnv1.Engine) {
	pace := max(time.Second/reportCallsPerSecond, reportInterval/time.Duration(len(engines)))
	for _, e := range engines {
		go l.ask(ctx, e)
		if backoff.Sleep(ctx, pace) != nil {
			return
		}
	}
}

// ask takes in the report of one engine.
func (l *loadReporter) ask(ctx context.Context, e *bronzeturnv1.Engine) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	load, err := l.reports.LoadSince(ctx, e.GetAddress(), l.seen(e.GetName()))
	if err != nil {
		l.log.Debug().Err(err).Str("engine", e.GetName()).Msg("no load report")
		return
	}
	now := time.Now()
	l.occupancy.reported(e.GetName(), load, now)
	l.state.LoadReported(balance.LoadReported{
		Engine:   e.GetName(),
		Requests: int64(load.QueuedRequests + load.RunningRequests),
		Tokens:   load.QueuedTokens,
		AsOf:     earlier(load.AsOf, now),
	})
	l.cacheEvents(e.GetName(), load, now)
}

func (l *loadReporter) seen(name string) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sequences[name]
}

// cacheEvents passes on what is new, and that something was missed.
func (l *loadReporter) cacheEvents(name string, load engine.LoadReport, now time.Time) {
	last := l.seen(name)
	for _, ev := range load.CacheEvents {
		if ev.Sequence > last+1 && last > 0 {
			l.state.CacheEvent(balance.CacheEvent{Engine: name, Kind: balance.CacheGap, At: now})
		}
		kind := balance.CacheEvicted
		if ev.Stored {
			kind = balance.CacheStored
		}
		l.state.CacheEvent(balance.CacheEvent{Engine: name, Kind: kind, PrefixHash: ev.Prefix, At: now})
		last = ev.Sequence
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sequences[name] = max(last, load.Sequence)
}

// earlier bounds the clock of another host by this one's.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// sampler sends a share of the answers to the rating service.
type sampler struct {
	client  *rating.Client
	share   float64
	log     zerolog.Logger
	mu      sync.Mutex
	rng     *rand.Rand
	samples chan router.AnswerSample
}

func newSampler(client *rating.Client, share float64, rng *rand.Rand, log zerolog.Logger) *sampler {
	return &sampler{client: client, share: share, rng: rng, log: log, samples: make(chan router.AnswerSample, sampleQueue)}
}

// Sample implements router.Sampler.
func (s *sampler) Sample(a router.AnswerSample) {
	if s.client == nil || !s.chosen() {
		return
	}
	select {
	case s.samples <- a:
	default:
		// A full queue means that the rating service is slow or silent.
	}
}

func (s *sampler) chosen() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Float64() < s.share
}

// run submits samples until ctx ends.
func (s *sampler) run(ctx context.Context) error {
	for {
		select {
		case a := <-s.samples:
			s.submit(ctx, a)
		case <-ctx.Done():
			return nil
		}
	}
}

func (s *sampler) submit(ctx context.Context, a router.AnswerSample) {
	ctx, cancel := context.WithTimeout(ctx, sampleTimeout)
	defer cancel()
	err := s.client.Submit(ctx, rating.Sample{
		RequestID: a.RequestID, Organisation: a.Organisation, Version: a.Version, Kind: a.Kind, Accepted: a.Accepted,
	})
	if err != nil {
		s.log.Debug().Err(err).Msg("sample not submitted")
	}
}
