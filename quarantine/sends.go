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
	byHash map[Hash]map[*Send]struct{}
}

// Send is one send in progress.
type Send struct {
	cancel context.CancelCauseFunc
	shard  *sendShard
	hash   Hash
	// begun is guarded by the shard's lock.
	begun bool
}

// Begun tells that the engine has begun to answer: should the request be convicted, this
// answer may still end well and clear it.
func (s *Send) Begun() {
	s.shard.mu.Lock()
	defer s.shard.mu.Unlock()
	s.begun = true
}

// Done tells that the send has ended. It must be called.
func (s *Send) Done() {
	s.shard.mu.Lock()
	defer s.shard.mu.Unlock()
	delete(s.shard.byHash[s.hash], s)
	if len(s.shard.byHash[s.hash]) == 0 {
		delete(s.shard.byHash, s.hash)
	}
	s.cancel(nil)
}

func newSends() *sends {
	s := &sends{}
	for i := range s.shards {
		s.shards[i].byHash = make(map[Hash]map[*Send]struct{})
	}
	return s
}

// begin adds a send. The context that it returns ends when the request is convicted before
// the engine has begun to answer.
func (s *sends) begin(ctx context.Context, h Hash) (context.Context, *Send) {
	sending, cancel := context.WithCancelCause(ctx)
	shard := &s.shards[h[0]%sendShards]
	one := &Send{cancel: cancel, shard: shard, hash: h}
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if shard.byHash[h] == nil {
		shard.byHash[h] = make(map[*Send]struct{}, 1)
	}
	shard.byHash[h][one] = struct{}{}
	return sending, one
}

// end ends the sends of a request to which no engine has begun to answer, and returns how
// many there were.
func (s *sends) end(h Hash) (ended int) {
	shard := &s.shards[h[0]%sendShards]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	for one := range shard.byHash[h] {
		if !one.begun {
			one.cancel(ErrQuarantined)
			ended++
		}
	}
	return ended
}
