package quarantine

import (
	"context"
	"sync"
)

// sendShards is the number of shards of the sends in progress, each under its own lock.
const sendShards = 16

// sends tracks the sends in progress, so that they can be cancelled when their request is put
// into quarantine: one that still waits in an engine's queue has not crashed it yet.
type sends struct{ shards [sendShards]sendShard }

type sendShard struct {
	mu     sync.Mutex
	byHash map[Hash]map[*Send]struct{}
}

// Send is a send in progress.
type Send struct {
	cancel context.CancelCauseFunc
	shard  *sendShard
	hash   Hash
	// begun is guarded by the shard's mutex.
	begun bool
}

// Begun records that the engine has begun to answer. The send is not cancelled from then on,
// because the answer may still complete and clear the request.
func (s *Send) Begun() {
	s.shard.mu.Lock()
	defer s.shard.mu.Unlock()
	s.begun = true
}

// Done ends the send. It must be called.
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

// begin registers a send. The returned context is cancelled if the request is put into
// quarantine before the engine begins to answer.
func (s *sends) begin(ctx context.Context, h Hash) (context.Context, *Send) {
	sending, cancel := context.WithCancelCause(ctx)
	shard := &s.shards[h[0]%sendShards]
	send := &Send{cancel: cancel, shard: shard, hash: h}
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if shard.byHash[h] == nil {
		shard.byHash[h] = make(map[*Send]struct{}, 1)
	}
	shard.byHash[h][send] = struct{}{}
	return sending, send
}

// cancelAll cancels the sends of a request that no engine has begun to answer, and returns
// their number.
func (s *sends) cancelAll(h Hash) (cancelled int) {
	shard := &s.shards[h[0]%sendShards]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	for send := range shard.byHash[h] {
		if !send.begun {
			send.cancel(ErrQuarantined)
			cancelled++
		}
	}
	return cancelled
}
