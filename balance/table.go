package balance

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

const tableShards = 16

// engineTable maps names to engines. Each shard has its own lock.
type engineTable struct{ shards [tableShards]tableShard }

type tableShard struct {
	mu     sync.RWMutex
	byName map[string]*engine
}

func (t *engineTable) shard(name string) *tableShard {
	return &t.shards[xxhash.Sum64String(name)%tableShards]
}

// get returns the engine with the name, or nil.
func (t *engineTable) get(name string) *engine {
	s := t.shard(name)
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.byName[name]
}

func (t *engineTable) add(e *engine) {
	s := t.shard(e.name)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byName == nil {
		s.byName = make(map[string]*engine)
	}
	s.byName[e.name] = e
}

func (t *engineTable) remove(e *engine) {
	s := t.shard(e.name)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byName, e.name)
}

// each calls f for every engine, holding the read lock of its shard.
func (t *engineTable) each(f func(e *engine)) {
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.RLock()
		for _, e := range s.byName {
			f(e)
		}
		s.mu.RUnlock()
	}
}
