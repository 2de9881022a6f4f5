package gateway

import (
	"sync"
	"sync/atomic"
	"time"
)

// progress is the progress of one request. It is updated by the goroutine of the request, and may be read by
// others.
type progress struct {
	id       string
	route    string
	kind     answerKind
	received time.Time
	// events is the number of events sent to the caller.
	events atomic.Int64
	// engine is the key of the engine that the request was last sent to, nil before.
	engine atomic.Pointer[string]

	shard int
}

// progressShards is the number of shards of the requests in progress.
const progressShards = 16

// inProgress holds the requests that engines have been chosen for or are to be. It is safe for concurrent use.
type inProgress struct {
	next   atomic.Uint32
	shards [progressShards]progressShard
}

type progressShard struct {
	mu       sync.Mutex
	requests map[*progress]struct{}
}

// add adds a request.
func (i *inProgress) add(p *progress) {
	p.shard = int(i.next.Add(1) % progressShards)
	s := &i.shards[p.shard]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.requests == nil {
		s.requests = make(map[*progress]struct{})
	}
	s.requests[p] = struct{}{}
}

// remove removes a request that has ended.
func (i *inProgress) remove(p *progress) {
	s := &i.shards[p.shard]
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.requests, p)
}

// each calls f for each request, which may end meanwhile.
func (i *inProgress) each(f func(p *progress)) {
	for n := range i.shards {
		s := &i.shards[n]
		s.mu.Lock()
		for p := range s.requests {
			f(p)
		}
		s.mu.Unlock()
	}
}
