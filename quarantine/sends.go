package quarantine

import (
	"context"
	"sync"
)

// sendShards is the number of shards of the sends in progress, each under its own lock.
const sendShards = 16

// sends are those in progress, so that they can be ended when their request is convicted:
// one that waits in an engine's queue has not crashed it yet.
type sends struct{ shards [sendShards]sendShard }

type sendShard struct {
	mu     sync.Mutex
	byHash map[Hash]map[*send]struct{}
}

// send is one send in progress.
type send struct{ cancel context.CancelCauseFunc }

func newSends() *sends {
	s := &sends{}
	for i := range s.shards {
		s.shards[i].byHash = make(map[Hash]map[*send]struct{})
	}
	return s
}

// begin adds a send. The context that it returns ends when the request is convicted; done
// must be called when the send has ended.
func (s *sends) begin(ctx context.Context, h Hash) (sending context.Context, done func()) {
	sending, cancel := context.WithCancelCause(ctx)
	one := &send{cancel: cancel}
	shard := &s.shards[h[0]%sendShards]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if shard.byHash[h] == nil {
		shard.byHash[h] = make(map[*send]struct{}, 1)
	}
	shard.byHash[h][one] = struct{}{}
	return sending, func() {
		shard.mu.Lock()
		defer shard.mu.Unlock()
		delete(shard.byHash[h], one)
		if len(shard.byHash[h]) == 0 {
			delete(shard.byHash, h)
		}
		cancel(nil)
	}
}

// end ends the sends of a request and returns how many there were.
func (s *sends) end(h Hash) int {
	shard := &s.shards[h[0]%sendShards]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	for one := range shard.byHash[h] {
		one.cancel(ErrQuarantined)
	}
	return len(shard.byHash[h])
}
