package membership

import (
	"time"

	"google.golang.org/protobuf/proto"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/gossip"
)

// counterBits is the number of low bits of a version that hold the counter within an
// incarnation.
const counterBits = 20

// maxIncarnation is the highest incarnation that fits into a version.
const maxIncarnation = gossip.MaxVersion>>counterBits - 1

// ownState is the state that this daemon publishes about itself. The incarnation is the wall
// clock time of the start in milliseconds. If the clock was set back since the previous start,
// the incarnation is raised above that of the older entry once that entry is received.
type ownState struct {
	self        Self
	incarnation uint64
	counter     uint64
	leaving     bool
	load        int

	// published is when the entry was last published and publishedLoad its load. loadAt is the
	// time from which loadInterval is measured.
	published     time.Time
	publishedLoad int
	loadAt        time.Time

	// generation is the generation of the configuration in force, and storeConfirmed when the
	// store last confirmed that none is newer.
	generation     uint64
	storeConfirmed time.Time
}

func (o *ownState) start(self Self, now time.Time) {
	o.self = self
	o.incarnation = uint64(max(1, now.UnixMilli()))
}

// nextVersion returns the next version for an entry of this daemon.
func (o *ownState) nextVersion() uint64 {
	o.counter++
	if o.counter >= 1<<counterBits {
		o.incarnation++
		o.counter = 1
	}
	return o.incarnation<<counterBits | o.counter
}

// raiseAbove makes the incarnation greater than seen. It returns false if seen is already the
// highest possible incarnation.
func (o *ownState) raiseAbove(seen uint64) bool {
	if seen >= maxIncarnation {
		return false
	}
	o.incarnation = max(o.incarnation, seen) + 1
	o.counter = 0
	return true
}

func (o *ownState) message() *bronzeturnv1.DaemonState {
	return &bronzeturnv1.DaemonState{
		Incarnation:   o.incarnation,
		PeerAddress:   o.self.PeerAddress,
		CallerAddress: o.self.CallerAddress,
		DataCentre:    o.self.DataCentre,
		Host:          o.self.Host,
		Leaving:       o.leaving,
		Load:          uint32(o.load),
		Capacity:      o.self.Capacity,
	}
}

// publishOwnLocked publishes the entry of this daemon.
func (m *Membership) publishOwnLocked() {
	now := time.Now()
	version := m.own.nextVersion()
	m.own.published = now
	m.own.publishedLoad = m.own.load
	m.own.loadAt = now
	m.publish(daemonPrefix+m.options.Self.Name, version, encode(m.own.message()))
}

// publishRemovalLocked removes the entry of this daemon from the table.
func (m *Membership) publishRemovalLocked() {
	m.publish(daemonPrefix+m.options.Self.Name, m.own.nextVersion(), nil)
}

// publish puts an entry into the table and logs a failure.
func (m *Membership) publish(key string, version uint64, value []byte) {
	if err := m.node.Publish(key, version, value); err != nil {
		m.log.Warn().Err(err).Str("key", key).Msg("entry not published")
	}
}

// maintainOwnLocked refutes suspicions of this daemon, and publishes its entry when a load
// change or a refresh is due.
func (m *Membership) maintainOwnLocked(now time.Time) {
	if seen := m.conflictingIncarnationLocked(); seen >= m.own.incarnation {
		if !m.own.raiseAbove(seen) {
			return
		}
		m.publishOwnLocked()
		m.log.Warn().Uint64("incarnation", m.own.incarnation).Msg("suspicion of this daemon refuted")
		return
	}
	loadDue := m.own.load != m.own.publishedLoad && now.Sub(m.own.loadAt) >= loadInterval
	if loadDue || now.Sub(m.own.published) >= refreshDaemon {
		m.publishOwnLocked()
	}
}

// conflictingIncarnationLocked returns the highest incarnation for which this daemon is
// suspected, or of an entry under its name that it did not publish. It returns 0 if there is
// none.
func (m *Membership) conflictingIncarnationLocked() uint64 {
	var seen uint64
	for _, c := range m.records.suspicions[m.options.Self.Name] {
		seen = max(seen, c.incarnation)
	}
	version, _, ok := m.node.Get(daemonPrefix + m.options.Self.Name)
	if ok && version > m.own.incarnation<<counterBits|m.own.counter {
		seen = max(seen, version>>counterBits)
	}
	return seen
}

// SetLoad sets the coarse load of this daemon from the share of its capacity in use, 0 to 1.
func (m *Membership) SetLoad(share float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.own.load = loadBand(share, m.own.load)
}

// loadBand returns the coarse load for a share. Hysteresis keeps a share close to a band limit
// from changing the load repeatedly.
func loadBand(share float64, current int) int {
	const slack = 0.05
	borders := [MaxLoad]float64{0.25, 0.5, 0.75}
	band := 0
	for i, border := range borders {
		if i < current {
			border -= slack
		} else {
			border += slack
		}
		if share >= border {
			band = i + 1
		}
	}
	return band
}

// SetConfigNews sets the generation of the configuration in force on this daemon, and when the
// store last confirmed that there is no newer one. A zero time keeps the previous confirmation.
func (m *Membership) SetConfigNews(generation uint64, storeConfirmed time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.own.generation = max(m.own.generation, generation)
	if storeConfirmed.After(m.own.storeConfirmed) {
		m.own.storeConfirmed = storeConfirmed
	}
}

// encode returns the deterministic encoding of a message.
func encode(message proto.Message) []byte {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		// Marshalling fails only if a string of the message is not valid UTF-8.
		return nil
	}
	return b
}
