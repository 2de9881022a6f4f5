// Package occupancy lets daemons know what all of them together have in progress at
// an engine. Each engine is in the care of one daemon, its keeper, which the others
// tell of their work there and ask before they choose. So a choice rests on counts
// that are milliseconds old, whatever the size of the fleet, and nothing is told to
// daemons that do not ask. The counts are advice: without an answer in time a daemon
// goes by its own estimate.
package occupancy

import (
	"sync"
	"time"
)

// Load is what daemons have in progress at one engine.
type Load struct {
	Requests, Tokens int64
	// Delay is how much later than expected the engine began an answer lately.
	Delay time.Duration
}

const (
	// keepFor is how long a daemon's work counts without news of it. A daemon tells
	// again of work that goes on every refreshInterval.
	keepFor = 3 * time.Second
	// lateFor is how long an engine's delay counts. It fades to nothing by then.
	lateFor = 2 * time.Second
	// bookShards is the number of parts of a book, each with its own lock.
	bookShards = 16
)

// Store holds the counts of the engines in this daemon's care. It is safe for
// concurrent use.
type Store struct{ shards [bookShards]shard }

type shard struct {
	mu       sync.Mutex
	accounts map[uint32]*account
}

// account is one engine's.
type account struct {
	byDaemon map[string]entry
	late     time.Duration
	lateAt   time.Time
}

// entry is what one daemon told last.
type entry struct {
	work     Load
	sequence uint64
	at       time.Time
}

// NewStore returns an empty book.
func NewStore() *Store {
	b := &Store{}
	for i := range b.shards {
		b.shards[i].accounts = make(map[uint32]*account)
	}
	return b
}

func (b *Store) shard(engine uint32) *shard { return &b.shards[engine%bookShards] }

// Record takes in a daemon's work at an engine, unless a later word is known.
func (b *Store) Record(daemon string, sequence uint64, engine uint32, w Load, now time.Time) {
	s := b.shard(engine)
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.accounts[engine]
	if a == nil {
		a = &account{byDaemon: make(map[string]entry)}
		s.accounts[engine] = a
	}
	if w.Delay > a.lateLeft(now) {
		a.late, a.lateAt = w.Delay, now
	}
	if a.byDaemon[daemon].sequence > sequence {
		return
	}
	a.byDaemon[daemon] = entry{work: w, sequence: sequence, at: now}
}

// LoadOfOthers returns the work of all daemons but one at an engine.
func (b *Store) LoadOfOthers(daemon string, engine uint32, now time.Time) Load {
	s := b.shard(engine)
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.accounts[engine]
	if a == nil {
		return Load{}
	}
	sum := Load{Delay: a.lateLeft(now)}
	for name, e := range a.byDaemon {
		if name == daemon || now.Sub(e.at) > keepFor {
			continue
		}
		sum.Requests += e.work.Requests
		sum.Tokens += e.work.Tokens
	}
	return sum
}

// lateLeft returns what still counts of the engine's delay.
func (a *account) lateLeft(now time.Time) time.Duration {
	age := now.Sub(a.lateAt)
	if age >= lateFor {
		return 0
	}
	return time.Duration(float64(a.late) * (1 - age.Seconds()/lateFor.Seconds()))
}

// Expire forgets what no daemon has told of lately.
func (b *Store) Expire(now time.Time) {
	for i := range b.shards {
		b.shards[i].expire(now)
	}
}

func (s *shard) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for engine, a := range s.accounts {
		for name, e := range a.byDaemon {
			if now.Sub(e.at) > keepFor {
				delete(a.byDaemon, name)
			}
		}
		if len(a.byDaemon) == 0 {
			delete(s.accounts, engine)
		}
	}
}
