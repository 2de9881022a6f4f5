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

// Membership keeps the view of the fleet. It is safe for concurrent use.
type Membership struct {
	tomb    tomb.Tomb
	options Options
	node    *gossip.Node
	log     zerolog.Logger

	view         atomic.Pointer[View]
	leavingHosts atomic.Pointer[map[string]struct{}]
	changed      chan struct{}
	// rebuildMu keeps views in order; it is taken before mu.
	rebuildMu sync.Mutex
	// targetsMu keeps targets in order; it is taken before mu.
	targetsMu sync.Mutex

	// mu guards what follows.
	mu       sync.Mutex
	records  *records
	own      ownState
	contacts map[string]*contact
	changes  changeLog
	lastTick time.Time
	// probeIndex counts the turns of probing, probed is the time of the last.
	probeIndex int
	lastProbe  time.Time
	subs       []func(*View)
	// foundSeeds are peer addresses that were found after the start.
	foundSeeds []string
}

// New returns a membership that is not yet started. Its view holds this daemon
// alone.
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

// Leave announces that this daemon is shutting down: when it returns, this
// daemon is out of its own answers and owns nothing; the others hear of it. It
// must not be called by a subscriber.
func (m *Membership) Leave() {
	m.mu.Lock()
	m.own.leaving = true
	m.records.daemons[m.options.Self.Name] = m.own.message()
	m.publishOwnLocked()
	m.mu.Unlock()
	m.rebuild()
	m.log.Info().Msg("leaving announced")
}

// Stop takes this daemon out of the fleet and closes its links. Until ctx ends
// it waits for pending entries to arrive.
func (m *Membership) Stop(ctx context.Context) error {
	m.tomb.Kill(nil)
	err := m.tomb.Wait()
	m.mu.Lock()
	m.own.leaving = true
	m.publishRemovalLocked()
	m.mu.Unlock()
	if drainErr := m.node.Drain(ctx); drainErr != nil {
		m.log.Warn().Err(drainErr).Msg("stopped before all entries arrived")
	}
	if stopErr := m.node.Stop(); err == nil {
		err = stopErr
	}
	return err
}

// Table is the flooded table, for the other users of the overlay.
func (m *Membership) Table() *gossip.Node { return m.node }

// View returns the newest view.
func (m *Membership) View() *View { return m.view.Load() }

// Subscribe calls f with the view of now and after every change, one call at a
// time. f must not block.
func (m *Membership) Subscribe(f func(*View)) {
	m.rebuildMu.Lock()
	defer m.rebuildMu.Unlock()
	m.mu.Lock()
	m.subs = append(m.subs, f)
	m.mu.Unlock()
	f(m.view.Load())
}

// Owner returns the preferred owner of a key, and whether it is this daemon.
// Safety must not rest on it: two daemons may each believe to be the owner.
func (m *Membership) Owner(key string) (name string, self bool) {
	name = m.view.Load().Owner(key)
	return name, name == m.options.Self.Name
}

// IsWatcher tells whether this daemon is one of the few that read the store and
// the host list.
func (m *Membership) IsWatcher() bool {
	return m.view.Load().IsWatcher(m.options.Self.Name)
}

// BackendLeaving tells whether the host list shows the host leaving or gone. It
// does not allocate.
func (m *Membership) BackendLeaving(host string) bool {
	_, leaving := (*m.leavingHosts.Load())[host]
	return leaving
}

// PeerAddress implements the resolver of package peer.
func (m *Membership) PeerAddress(name string) (address string, ok bool) {
	member, ok := m.view.Load().Member(name)
	return member.PeerAddress, ok && member.PeerAddress != ""
}

// run rebuilds the view after changes and looks at the neighbours.
//
// Building takes time in proportion to the fleet and to what fails in it, so the
// pause before it grows with the time that the last one took.
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

// requestRebuild asks for a new view.
func (m *Membership) requestRebuild() {
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

// rebuild builds the view from the records and tells the subscribers.
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

// maxJoinLines bounds the lines that one change of the view writes about daemons that are
// new and live: when a whole fleet starts, one line names them all.
const maxJoinLines = 8

// logChanges writes one line for every daemon whose state changed.
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
			m.log.Info().Str("daemon", member.Name).Int("live", v.Live()).Msg("daemon gone")
		}
	}
}

// heartbeat returns the state that this daemon sends to its neighbours.
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
