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

// Limits of load reports and rating samples.
const (
	// reportCallsPerSecond bounds the rate at which a daemon requests load reports.
	reportCallsPerSecond = 12
	// reportInterval is the minimum time between two reports of one engine.
	reportInterval = time.Second
	reportTimeout  = 2 * time.Second
	// sampleQueueLen bounds the samples that wait for the rating service. Further
	// ones are dropped, as only a share of the answers is rated anyway.
	sampleQueueLen = 256
	sampleTimeout  = 2 * time.Second
)

// loadPoller requests load reports from the visible engines in turn.
type loadPoller struct {
	reports   *engine.ControlClient
	state     *balance.State
	occupancy *occupancy
	engines   func() []*bronzeturnv1.Engine
	log       zerolog.Logger

	mu sync.Mutex
	// sequences holds the sequence number of the last cache event of each engine.
	sequences map[string]uint64
}

// run polls the engines until ctx ends.
func (l *loadPoller) run(ctx context.Context) error {
	l.sequences = make(map[string]uint64)
	for ctx.Err() == nil {
		engines := l.engines()
		if len(engines) == 0 {
			_ = backoff.Sleep(ctx, reportInterval) // The loop checks ctx.
			continue
		}
		l.pollEngines(ctx, engines)
	}
	return nil
}

// pollEngines polls each engine once, evenly spread over at least reportInterval.
func (l *loadPoller) pollEngines(ctx context.Context, engines []*bronzeturnv1.Engine) {
	pace := max(time.Second/reportCallsPerSecond, reportInterval/time.Duration(len(engines)))
	for _, e := range engines {
		go l.pollEngine(ctx, e)
		if backoff.Sleep(ctx, pace) != nil {
			return
		}
	}
}

// pollEngine requests the load report of one engine and applies it.
func (l *loadPoller) pollEngine(ctx context.Context, e *bronzeturnv1.Engine) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	load, err := l.reports.LoadSince(ctx, e.GetAddress(), l.lastSequence(e.GetName()))
	if err != nil {
		l.log.Debug().Err(err).Str("engine", e.GetName()).Msg("engine gave no load report")
		return
	}
	now := time.Now()
	l.occupancy.record(e.GetName(), load, now)
	l.state.LoadReported(balance.LoadReported{
		Engine:   e.GetName(),
		Requests: int64(load.QueuedRequests + load.RunningRequests),
		Tokens:   load.QueuedTokens,
		AsOf:     earlier(load.AsOf, now),
	})
	l.applyCacheEvents(e.GetName(), load, now)
}

func (l *loadPoller) lastSequence(name string) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sequences[name]
}

// applyCacheEvents applies the new cache events of a report. A gap in their
// sequence numbers is applied as an event of its own.
func (l *loadPoller) applyCacheEvents(name string, load engine.LoadReport, now time.Time) {
	last := l.lastSequence(name)
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

// earlier returns the earlier of two times. It keeps a time read on another
// host's clock from lying in the future of this one's.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// sampler submits a random share of the answers to the rating service.
type sampler struct {
	client  *rating.Client
	share   float64
	log     zerolog.Logger
	mu      sync.Mutex
	rng     *rand.Rand
	samples chan router.AnswerSample
}

func newSampler(client *rating.Client, share float64, rng *rand.Rand, log zerolog.Logger) *sampler {
	return &sampler{client: client, share: share, rng: rng, log: log, samples: make(chan router.AnswerSample, sampleQueueLen)}
}

// Sample implements router.Sampler.
func (s *sampler) Sample(a router.AnswerSample) {
	if s.client == nil || !s.selects() {
		return
	}
	select {
	case s.samples <- a:
	default:
		// The queue is full: the rating service is slow or does not answer.
	}
}

func (s *sampler) selects() bool {
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
		s.log.Debug().Err(err).Msg("sample could not be submitted to the rating service")
	}
}
