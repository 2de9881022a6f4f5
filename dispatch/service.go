package dispatch

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bronzeturn/bronzeturn/scheduler"
)

const (
	// contendedTTL is how long a service stays contended after a sign of contention. It equals
	// the time to live of the gossip entry.
	contendedTTL = 3 * time.Second
	// announceInterval is how often a daemon announces at most that a service is contended.
	announceInterval = time.Second
	// minFull requests that were refused by full engines within fullWindow are a sign of
	// contention.
	minFull    = 3
	fullWindow = time.Second
	// Requests in progress that take overload times the slots of all engines, if the other
	// daemons have as many as this one, are a sign of contention. It shows before the queues of
	// the engines are full. Fewer than minInProgress requests of this daemon say nothing about
	// the others.
	overload      = 1.25
	minInProgress = 4
	// maxFull is the number of refusals that are remembered.
	maxFull = 16
	// maxFinished limits the finished runs that are kept for the next call. More than these are
	// not needed to learn the run time of the engines.
	maxFinished = 1024
	// freeTTL is how long the free engines of an answer are believed.
	freeTTL = time.Second
)

// service is the state of one service at this daemon.
type service struct {
	d           *Dispatcher
	name        string
	coordinator coordinator
	// until is when the contention ends, announced when it was announced last, both in Unix
	// nanoseconds.
	until, announced atomic.Int64
	slots            atomic.Pointer[slotSum]
	wake             chan struct{}

	mu sync.Mutex
	// running counts the requests in progress by engine, unsent those whose engine is not
	// chosen yet.
	running map[uint32]int
	unsent  int
	// inProgress is the sum of both.
	inProgress int
	waiting    map[uint64]*waiter
	// finished are the runs that no coordinator has confirmed, firstFinished the number of the
	// first of them.
	finished      []scheduler.Finished
	firstFinished uint64
	full          [maxFull]fullRefusal
	nextFull      int
	looping       bool
	// dirty is set if the state has changed since the last call.
	dirty  bool
	client client
	// keys holds the engines by hash, as of keysAt.
	keys   map[uint32]string
	keysAt time.Time
	// free are engines that had a free slot at freeAt.
	free   []uint32
	freeAt time.Time
	logged state
}

// fullRefusal is a refusal by a full engine.
type fullRefusal struct {
	engine uint32
	at     time.Time
}

func newService(d *Dispatcher, name string) *service {
	s := &service{
		d: d, name: name, wake: make(chan struct{}, 1), running: make(map[uint32]int),
		waiting: make(map[uint64]*waiter), firstFinished: 1,
	}
	s.coordinator.service = s
	return s
}

// contended reports whether the service is contended.
func (s *service) contended(now time.Time) bool {
	until := s.until.Load()
	return until != 0 && until > now.UnixNano() && !s.d.stopped.Load()
}

// markContended records that the service is contended until the given time.
func (s *service) markContended(until time.Time) {
	s.extend(until)
	if s.contended(time.Now()) {
		s.startLoop()
	}
}

// extend moves the end of the contention to the given time if that is later.
func (s *service) extend(until time.Time) {
	for {
		old := s.until.Load()
		if old >= until.UnixNano() || s.until.CompareAndSwap(old, until.UnixNano()) {
			return
		}
	}
}

// announce publishes that the service is contended, at most once per announceInterval.
func (s *service) announce(now time.Time) {
	last := s.announced.Load()
	if now.UnixNano()-last < int64(announceInterval) || !s.announced.CompareAndSwap(last, now.UnixNano()) {
		return
	}
	s.markContended(now.Add(contendedTTL))
	s.d.Announce(s.name)
}

// startLoop starts the loop that calls the coordinator, unless it runs.
func (s *service) startLoop() {
	s.d.mu.Lock()
	defer s.d.mu.Unlock()
	ctx := s.d.ctx
	if ctx == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.looping {
		return
	}
	s.looping = true
	s.client = client{}
	s.d.loops.Go(func() { s.loop(ctx) })
}

// changed has the loop report a change. s.mu is held.
func (s *service) changed() {
	s.dirty = true
	s.wakeLoop()
}

func (s *service) wakeLoop() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// fullLocked records that a full engine refused a request. It reports whether this is a sign of
// contention. s.mu is held.
func (s *service) fullLocked(engine uint32, now time.Time) bool {
	s.full[s.nextFull] = fullRefusal{engine: engine, at: now}
	s.nextFull = (s.nextFull + 1) % maxFull
	refusals, other := 0, false
	for _, f := range s.full {
		if !f.at.IsZero() && now.Sub(f.at) < fullWindow {
			refusals++
			other = other || f.engine != engine
		}
	}
	return refusals >= minFull && (other || len(s.d.Engines(s.name)) == 1)
}

// overloaded reports whether the engines are probably full, given the number of this daemon's
// requests in progress.
func (s *service) overloaded(inProgress int, now time.Time) bool {
	if inProgress < minInProgress {
		return false
	}
	slots := s.totalSlots(now)
	return slots > 0 && float64(inProgress*s.d.live()) >= overload*float64(slots)
}

// totalSlots returns the slots of all engines, read at most once per enginesInterval.
func (s *service) totalSlots(now time.Time) int {
	if last := s.slots.Load(); last != nil && now.Sub(last.at) < enginesInterval {
		return last.sum
	}
	read := &slotSum{at: now}
	for _, e := range s.d.Engines(s.name) {
		read.sum += e.Slots
	}
	s.slots.Store(read)
	return read.sum
}

// slotSum is the sum of the slots of all engines at a time.
type slotSum struct {
	sum int
	at  time.Time
}

// counts returns the numbers of running and waiting requests of this daemon, and when the
// coordinator answered last.
func (s *service) counts() (running, waiting int, answered time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inProgress, len(s.waiting), s.client.answered
}

// freeEngine reports whether another engine has a free slot. Without a recent answer of the
// coordinator it assumes that the other daemons have as many requests in progress as this one.
func (s *service) freeEngine(except []string, now time.Time) bool {
	engines := s.d.Engines(s.name)
	contended, live := s.contended(now), s.d.live()
	s.mu.Lock()
	defer s.mu.Unlock()
	answered := contended && s.client.local == nil && now.Sub(s.freeAt) < freeTTL
	for _, e := range engines {
		if slices.Contains(except, e.Key) {
			continue
		}
		h := hash(e.Key)
		if answered && slices.Contains(s.free, h) || !answered && s.running[h]*live < e.Slots {
			return true
		}
	}
	return false
}

// engineKey returns the key of an engine, "" if it is unknown. s.mu is held.
func (s *service) engineKey(h uint32, now time.Time) string {
	if key := s.keys[h]; key != "" || now.Sub(s.keysAt) < enginesInterval {
		return key
	}
	engines := s.d.Engines(s.name)
	s.keysAt, s.keys = now, make(map[uint32]string, len(engines))
	for _, e := range engines {
		s.keys[hash(e.Key)] = e.Key
	}
	return s.keys[h]
}
