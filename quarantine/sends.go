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
	mu  sync.Mutex
	all map[*Send]struct{}
}

// Send is a send in progress.
type Send struct {
	cancel  context.CancelCauseFunc
	shard   *sendShard
	content Content
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
	delete(s.shard.all, s)
	s.cancel(nil)
}

func newSends() *sends {
	s := &sends{}
	for i := range s.shards {
		s.shards[i].all = make(map[*Send]struct{})
	}
	return s
}

// begin registers a send. The returned context is cancelled if the request is put into
// quarantine before the engine begins to answer.
func (s *sends) begin(ctx context.Context, c Content) (context.Context, *Send) {
	sending, cancel := context.WithCancelCause(ctx)
	shard := &s.shards[c.Request[0]%sendShards]
	send := &Send{cancel: cancel, shard: shard, content: c}
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.all[send] = struct{}{}
	return sending, send
}

// cancelAll cancels the sends of the requests that a verdict is on and that no engine has begun to
// answer, and returns their number.
func (s *sends) cancelAll(v *Verdict) (cancelled int) {
	for i := range s.shards {
		cancelled += s.shards[i].cancelAll(v)
	}
	return cancelled
}

func (s *sendShard) cancelAll(v *Verdict) (cancelled int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for send := range s.all {
		if !send.begun && v.covers(send.content) {
			send.cancel(ErrQuarantined)
			cancelled++
		}
	}
	return cancelled
}
