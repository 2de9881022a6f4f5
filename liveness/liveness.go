// Package liveness tells whether the process of an engine has outlived an answer that it gave. An answer
// that ends with its connection looks the same whether it is complete or its process has ended.
//
// The operating system closes all connections of a process when it ends. So one that has sent something
// over a connection before and after the end of an answer has outlived it. The evidence is data of other answers,
// and answers to probes over connections that are kept for them. An answer over a new connection may come from a
// later process with the same id. If a kept connection was lost with that of the answer, it counts only once the
// registration of a later process would be known.
package liveness

import (
	"hash/maphash"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"github.com/bronzeturn/bronzeturn/inventory"
)

// Evidence is what shows whether an engine has outlived an answer.
type Evidence string

// The evidence that the engine has.
const (
	// Data: another answer went on over a connection on which it had begun before the end.
	Data Evidence = "data"
	// Probe: the engine answered a probe over a connection on which it had answered before the end.
	Probe Evidence = "probe"
	// Acknowledged: the engine's host acknowledged a probe on such a connection, and did not close it.
	Acknowledged Evidence = "acknowledged"
	// Start: the engine reported the start by which it is registered.
	Start Evidence = "start"
	// NewConnection: the engine answered a probe over a connection on which it had not answered before.
	NewConnection Evidence = "new_connection"
)

// The evidence that it has not, and the lack of any.
const (
	// OtherInstance: another instance or another start answers at the engine's address, or is registered.
	OtherInstance Evidence = "other_instance"
	// Refused: the engine's host refuses connections to its address.
	Refused Evidence = "refused"
	// Unknown: nothing was learned in time.
	Unknown Evidence = "unknown"
)

// Verdict says whether an engine has outlived an answer.
type Verdict struct {
	Evidence Evidence
}

// Outlived reports whether the engine is known to have outlived the answer.
func (v Verdict) Outlived() bool {
	switch v.Evidence {
	case Data, Probe, Acknowledged, Start, NewConnection:
		return true
	}
	return false
}

// Known reports whether it is known that the engine has outlived the answer or that it has not.
func (v Verdict) Known() bool { return v.Evidence != Unknown }

// Options configures a Monitor. All fields are required.
type Options struct {
	Prober Prober
	// Restarted reports whether an engine is known to have started again.
	Restarted  func(e inventory.Engine) bool
	Registerer prometheus.Registerer
}

// Monitor collects evidence about engines that answers are read from. It is safe for concurrent use.
type Monitor struct {
	Options
	seed   maphash.Seed
	shards [shardCount]shard
	probes *prometheus.CounterVec
	// unframed holds the services whose engines have given answers without a length.
	unframed sync.Map
}

// shardCount is the number of shards of the engines, each under its own lock.
const shardCount = 16

type shard struct {
	mu      sync.Mutex
	engines map[string]*engine
}

// New returns a Monitor.
func New(o Options) *Monitor {
	m := &Monitor{Options: o, seed: maphash.MakeSeed()}
	for i := range m.shards {
		m.shards[i].engines = make(map[string]*engine)
	}
	m.probes = promauto.With(o.Registerer).NewCounterVec(prometheus.CounterOpts{
		Name: "bronzeturn_liveness_probes_total", Help: "Probes of engines that answers without a length are read from, by question and outcome.",
	}, []string{"question", "outcome"})
	return m
}

// Expect records that a request is sent to an engine. If the engines of its service give answers without a length,
// it opens a connection for probes, so that the engine has answered on it before its answer ends.
func (m *Monitor) Expect(e inventory.Engine) {
	if _, known := m.unframed.Load(e.Service); known {
		m.with(e, func(known *engine) { known.keepConnection(time.Now()) })
	}
}

// Open records that an answer of an engine has begun. framed is set if its body has a length or chunks. Each call
// is followed by one of Close.
func (m *Monitor) Open(e inventory.Engine, framed bool) (a *Answer) {
	now := time.Now()
	m.with(e, func(known *engine) {
		a = &Answer{engine: known, began: now}
		a.last.Store(&wait{now, now})
		known.answers[a] = struct{}{}
		if !framed {
			m.unframed.LoadOrStore(e.Service, struct{}{})
			known.keepConnection(now)
		}
	})
	return a
}

// with calls f with the evidence about an engine, whose lock is held.
func (m *Monitor) with(e inventory.Engine, f func(known *engine)) {
	key := e.Key()
	s := m.shardOf(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.engines[key]
	if known == nil {
		known = newEngine(m, e)
		s.engines[key] = known
	}
	known.mu.Lock()
	defer known.mu.Unlock()
	f(known)
}

func (m *Monitor) shardOf(key string) *shard {
	return &m.shards[maphash.String(m.seed, key)%shardCount]
}

// remove removes an engine that is not in use.
func (m *Monitor) remove(e *engine) {
	key := e.facts.Key()
	s := m.shardOf(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.inUse() && s.engines[key] == e {
		delete(s.engines, key)
	}
}

// engineCount returns the number of engines that there is evidence about.
func (m *Monitor) engineCount() (n int) {
	for i := range m.shards {
		s := &m.shards[i]
		s.mu.Lock()
		n += len(s.engines)
		s.mu.Unlock()
	}
	return n
}
