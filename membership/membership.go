package membership

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"gopkg.in/tomb.v2"

	"github.com/bronzeturn/bronzeturn/backoff"
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/gossip"
	"github.com/bronzeturn/bronzeturn/logging"
)

// Membership maintains the view of the fleet. It is safe for concurrent use.
type Membership struct {
	tomb    tomb.Tomb
	options Options
	node    *gossip.Node
	log     zerolog.Logger

	view         atomic.Pointer[View]
	leavingHosts atomic.Pointer[map[string]struct{}]
	changed      chan struct{}
	// rebuildMu serializes rebuilds, so that views are stored and delivered in order. It is
	// acquired before mu.
	rebuildMu sync.Mutex
	// targetsMu serializes updates of the link targets. It is acquired before mu.
	targetsMu sync.Mutex

	// mu guards the fields below.
	mu       sync.Mutex
	records  *records
	own      ownState
	contacts map[string]*contact
	changes  changeLog
	lastTick time.Time
	// probeIndex selects the suspected daemon to probe, modulo their number. lastProbe is when
	// it was last changed.
	probeIndex int
	lastProbe  time.Time
	subs       []func(*View)
	// foundSeeds are seed addresses discovered after the start.
	foundSeeds []string
}

// New returns a membership that has not been started. Its view contains only this daemon.
func New(options Options) (*Membership, error) {
	if err := options.validate(); err != nil {
		return nil, err
	}
	m := &Membership{
		options:  options,
		log:      options.Log.With().Str("part", "membership").Logger(),
		records:  newRecords(),
		contacts: make(map[string]*contact),
		changed:  make(chan struct{}, 1),
	}
	node, err := gossip.New(gossip.Options{
		Name:           options.Self.Name,
		Classes:        append(classes(), options.Classes...),
		Dialer:         options.Dialer,
		Observer:       (*observer)(m),
		Status:         m.heartbeat,
		GreetingKeys:   []string{daemonPrefix + options.Self.Name},
		ReferralPrefix: daemonPrefix,
		Random:         rand.New(rand.NewPCG(options.Random.Uint64(), options.Random.Uint64())),
		Log:            options.Log,
		Registerer:     options.Registerer,
	})
	if err != nil {
		return nil, err
	}
	m.node = node
	m.leavingHosts.Store(&map[string]struct{}{})
	m.own.start(options.Self, time.Now())
	m.records.daemons[options.Self.Name] = m.own.message()
	m.view.Store(buildView(options.Self.Name, m.records, maxEntriesTTL))
	return m, nil
}

// Start joins the fleet.
func (m *Membership) Start() {
	m.node.Start()
	m.node.Subscribe(daemonPrefix, m.daemonChanged)
	m.node.Subscribe(suspectPrefix, m.suspicionChanged)
	m.node.Subscribe(hostPrefix, m.hostChanged)
	m.mu.Lock()
	m.publishOwnLocked()
	m.mu.Unlock()
	m.setTargets()
	m.tomb.Go(m.run)
	if m.options.HostList != nil {
		m.tomb.Go(m.watchHosts)
	}
}

// Leave announces that this daemon is shutting down. When it returns, the local view no longer
// counts this daemon as live: it owns no keys and is not in the lists of entry addresses. The
// announcement is sent to the other daemons asynchronously. Leave must not be called by a
// subscriber.
func (m *Membership) Leave() {
	m.mu.Lock()
	m.own.leaving = true
	m.records.daemons[m.options.Self.Name] = m.own.message()
	m.publishOwnLocked()
	m.mu.Unlock()
	m.rebuild()
	m.log.Info().Msg("announced shutdown to the fleet")
}

// Stop removes this daemon from the fleet and closes its links. It waits for the pending
// entries to be delivered until ctx ends.
func (m *Membership) Stop(ctx context.Context) error {
	m.tomb.Kill(nil)
	err := m.tomb.Wait()
	m.mu.Lock()
	m.own.leaving = true
	m.publishRemovalLocked()
	m.mu.Unlock()
	if drainErr := m.node.Drain(ctx); drainErr != nil {
		m.log.Warn().Err(drainErr).Msg("stopped before all entries were delivered")
	}
	if stopErr := m.node.Stop(); err == nil {
		err = stopErr
	}
	return err
}

// Table returns the gossip node, for other components that publish entries through it.
func (m *Membership) Table() *gossip.Node { return m.node }

// View returns the current view.
func (m *Membership) View() *View { return m.view.Load() }

// Subscribe calls f with the current view and after every change, one call at a time. f must
// not block.
func (m *Membership) Subscribe(f func(*View)) {
	m.rebuildMu.Lock()
	defer m.rebuildMu.Unlock()
	m.mu.Lock()
	m.subs = append(m.subs, f)
	m.mu.Unlock()
	f(m.view.Load())
}

// Owner returns the preferred owner of a key, and whether it is this daemon. Correctness must
// not depend on it: two daemons with different views may both consider themselves the owner.
func (m *Membership) Owner(key string) (name string, self bool) {
	name = m.view.Load().Owner(key)
	return name, name == m.options.Self.Name
}

// IsWatcher reports whether this daemon is one of the few that read the store and the host
// list.
func (m *Membership) IsWatcher() bool {
	return m.view.Load().IsWatcher(m.options.Self.Name)
}

// BackendLeaving reports whether the host list shows the host as leaving or removed. It does
// not allocate.
func (m *Membership) BackendLeaving(host string) bool {
	_, leaving := (*m.leavingHosts.Load())[host]
	return leaving
}

// PeerAddress implements peer.Resolver.
func (m *Membership) PeerAddress(name string) (address string, ok bool) {
	member, ok := m.view.Load().Member(name)
	return member.PeerAddress, ok && member.PeerAddress != ""
}

// run rebuilds the view after changes and checks the neighbours on every tick. The time that a
// rebuild takes grows with the size of the fleet and the number of suspicions, so the delay
// before the next rebuild grows with the duration of the last one.
func (m *Membership) run() error {
	timer := time.NewTimer(backoff.UntilTick(tickInterval))
	defer timer.Stop()
	var rebuild <-chan time.Time
	pause := rebuildDelay
	for {
		select {
		case <-m.tomb.Dying():
			return nil
		case <-m.changed:
			if rebuild == nil {
				rebuild = time.After(pause)
			}
		case <-rebuild:
			rebuild = nil
			started := time.Now()
			m.rebuild()
			pause = max(rebuildDelay, rebuildPauseFactor*time.Since(started))
		case <-timer.C:
			timer.Reset(backoff.UntilTick(tickInterval))
			now := time.Now()
			m.tick(now)
			if m.probeDue(now) {
				m.setTargets()
			}
		}
	}
}

// requestRebuild schedules a rebuild of the view.
func (m *Membership) requestRebuild() {
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

// rebuild builds the view from the records and delivers it to the subscribers.
func (m *Membership) rebuild() {
	m.rebuildMu.Lock()
	defer m.rebuildMu.Unlock()
	m.mu.Lock()
	old := m.view.Load()
	now := time.Now()
	v := buildView(m.options.Self.Name, m.records, 0)
	m.changes.add(now, membersChanged(old, v))
	v.EntriesTTL = entriesTTLFor(m.changes.count(now), len(v.Members))
	m.view.Store(v)
	m.storeLeavingHostsLocked()
	subs := slices.Clone(m.subs)
	m.mu.Unlock()
	m.logChanges(old, v)
	for _, f := range subs {
		f(v)
	}
	m.setTargets()
}

// maxJoinLines limits the log lines about new live daemons for one change of the view. Beyond
// it, for example when a whole fleet starts, a single line is written for all of them.
const maxJoinLines = 8

// logChanges logs every daemon whose state differs between the views.
func (m *Membership) logChanges(old, v *View) {
	var joined, changed []Member
	for _, member := range v.Members {
		before, known := old.Member(member.Name)
		switch {
		case known && before.State == member.State:
		case !known && member.State == Live:
			joined = append(joined, member)
		default:
			changed = append(changed, member)
		}
	}
	if len(joined) > maxJoinLines {
		names := make([]string, len(joined))
		for i, member := range joined {
			names[i] = member.Name
		}
		m.log.Info().Int("count", len(names)).Strs("daemons", logging.FirstNames(names)).Int("live", v.Live()).Msg("many daemons joined")
		joined = nil
	}
	for _, member := range slices.Concat(joined, changed) {
		m.log.Info().Str("daemon", member.Name).Str("state", member.State.String()).
			Str("reason", string(member.Reason)).Int("live", v.Live()).Msg("daemon state changed")
	}
	for _, member := range old.Members {
		if _, ok := v.Member(member.Name); !ok {
			m.log.Info().Str("daemon", member.Name).Int("live", v.Live()).Msg("daemon removed")
		}
	}
}

// heartbeat returns the heartbeat that this daemon sends to its neighbours.
func (m *Membership) heartbeat() *bronzeturnv1.Heartbeat {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	known, heard := m.ownSampleLocked(now)
	h := &bronzeturnv1.Heartbeat{
		Incarnation:      m.own.incarnation,
		Leaving:          m.own.leaving,
		ConfigGeneration: m.own.generation,
		Load:             uint32(m.own.load),
		PeersKnown:       uint32(known),
		PeersHeard:       uint32(heard),
	}
	if age, ok := m.configNewsAgeLocked(now); ok {
		h.NewsAgeMs = uint64(max(1, age.Milliseconds()))
	}
	return h
}
