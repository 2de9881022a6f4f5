// Package occupancy shares between daemons how many requests and tokens all of them
// together have in progress at an engine. Each engine is assigned to one daemon, its
// keeper, which stores the load that every daemon reports for the engine. A daemon
// that is about to choose an engine queries the keeper for the load of the others. So
// a choice uses counts that are milliseconds old, whatever the size of the fleet, and
// no daemon is sent counts that it does not need. The counts are advisory: a daemon
// that gets no answer in time uses its own estimate.
package occupancy

import (
	"sync"
	"time"
)

// Load is what one or more daemons have in progress at one engine.
type Load struct {
	Requests, Tokens int64
	// Delay is how much later than expected the engine recently began an answer.
	Delay time.Duration
}

const (
	// reportTTL is how long a daemon's reported load counts. A daemon reports load
	// that persists again every refreshInterval.
	reportTTL = 3 * time.Second
	// delayTTL is how long an engine's delay counts. It decreases linearly to zero
	// over that time.
	delayTTL = 2 * time.Second
	// gateTTL is how long the room that a refusal has shown is remembered while no daemon has
	// requests in progress.
	gateTTL = 10 * time.Second
	// storeShards is the number of shards of a store, each with its own lock.
	storeShards = 16
)

// Store holds the reported load of the engines that this daemon is the keeper of.
// It is safe for concurrent use.
type Store struct{ shards [storeShards]shard }

type shard struct {
	mu      sync.Mutex
	engines map[uint32]*engineState
}

// engineState is what daemons have reported for one engine.
type engineState struct {
	byDaemon map[string]report
	delay    time.Duration
	delayAt  time.Time
	pace     paceMean
	gate     gate
	pacer    pacer
}

// report is the last report of one daemon.
type report struct {
	load     Load
	sequence uint64
	at       time.Time
}

// NewStore returns an empty store.
func NewStore() *Store {
	s := &Store{}
	for i := range s.shards {
		s.shards[i].engines = make(map[uint32]*engineState)
	}
	return s
}

func (s *Store) shard(engine uint32) *shard { return &s.shards[engine%storeShards] }

// Record stores a daemon's load at an engine, unless a report with a higher
// sequence number has been stored. The delay counts in either case.
func (s *Store) Record(daemon string, sequence uint64, engine uint32, load Load, now time.Time) {
	shard := s.shard(engine)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	state := shard.getOrCreate(engine)
	if load.Delay > state.remainingDelay(now) {
		state.delay, state.delayAt = load.Delay, now
	}
	if state.byDaemon[daemon].sequence > sequence {
		return
	}
	state.byDaemon[daemon] = report{load: load, sequence: sequence, at: now}
}

// getOrCreate returns the state of an engine. The caller holds mu.
func (s *shard) getOrCreate(engine uint32) *engineState {
	state := s.engines[engine]
	if state == nil {
		state = &engineState{byDaemon: make(map[string]report)}
		s.engines[engine] = state
	}
	return state
}

// LoadOfOthers returns the load of all daemons but the given one at an engine.
func (s *Store) LoadOfOthers(daemon string, engine uint32, now time.Time) Load {
	shard := s.shard(engine)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	state := shard.engines[engine]
	if state == nil {
		return Load{}
	}
	sum := Load{Delay: state.remainingDelay(now)}
	for name, r := range state.byDaemon {
		if name == daemon || now.Sub(r.at) > reportTTL {
			continue
		}
		sum.Requests += r.load.Requests
		sum.Tokens += r.load.Tokens
	}
	return sum
}

// remainingDelay returns the part of the engine's delay that still counts.
func (e *engineState) remainingDelay(now time.Time) time.Duration {
	age := now.Sub(e.delayAt)
	if age >= delayTTL {
		return 0
	}
	return time.Duration(float64(e.delay) * (1 - age.Seconds()/delayTTL.Seconds()))
}

// Expire removes load reports that are older than reportTTL, and pace reports older than
// paceReportTTL.
func (s *Store) Expire(now time.Time) {
	for i := range s.shards {
		s.shards[i].expire(now)
	}
}

func (s *shard) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for engine, state := range s.engines {
		for name, r := range state.byDaemon {
			if now.Sub(r.at) > reportTTL {
				delete(state.byDaemon, name)
			}
		}
		state.pace.expire(now)
		if len(state.byDaemon) == 0 && len(state.pace.counted) == 0 && now.Sub(state.gate.refusedAt) > gateTTL && !state.pacer.used(now) {
			delete(s.engines, engine)
		}
	}
}
