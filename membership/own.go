package membership

import (
	"time"

	"google.golang.org/protobuf/proto"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/gossip"
)

// counterBits is the part of an entry's version that counts within one
// incarnation.
const counterBits = 20

// maxIncarnation is the greatest incarnation that fits a version.
const maxIncarnation = gossip.MaxVersion>>counterBits - 1

// ownState is what this daemon tells about itself. An incarnation is the wall
// clock at the start, in milliseconds; when the clock went back since the last
// start, the first sight of the older entry raises it.
type ownState struct {
	self        Self
	incarnation uint64
	counter     uint64
	leaving     bool
	load        int

	published     time.Time
	publishedLoad int
	loadAt        time.Time

	generation     uint64
	storeConfirmed time.Time
}

func (o *ownState) start(self Self, now time.Time) {
	o.self = self
	o.incarnation = uint64(max(1, now.UnixMilli()))
}

// nextVersion returns the next nextVersion of an entry of this daemon.
func (o *ownState) nextVersion() uint64 {
	o.counter++
	if o.counter >= 1<<counterBits {
		o.incarnation++
		o.counter = 1
	}
	return o.incarnation<<counterBits | o.counter
}

// raiseAbove makes the incarnation greater than seen. It reports false when seen
// cannot be surpassed.
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

// publishOwnLocked floods the state of this daemon.
func (m *Membership) publishOwnLocked() {
	now := time.Now()
	version := m.own.nextVersion()
	m.own.published = now
	m.own.publishedLoad = m.own.load
	m.own.loadAt = now
	m.publish(daemonPrefix+m.options.Self.Name, version, encode(m.own.message()))
}

// publishRemovalLocked takes this daemon out of the table.
func (m *Membership) publishRemovalLocked() {
	m.publish(daemonPrefix+m.options.Self.Name, m.own.nextVersion(), nil)
}

// publish puts an entry of this daemon into the table.
func (m *Membership) publish(key string, version uint64, value []byte) {
	if err := m.node.Publish(key, version, value); err != nil {
		m.log.Warn().Err(err).Str("key", key).Msg("entry not published")
	}
}

// maintainOwnLocked answers suspicions of this daemon and refreshes its entry.
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

// conflictingIncarnationLocked returns the greatest incarnation at which this daemon
// is suspected, or at which an entry of its name exists that it did not write.
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

// SetLoad sets the coarse load of this daemon from the share of its capacity in
// use, 0 to 1.
func (m *Membership) SetLoad(share float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.own.load = loadBand(share, m.own.load)
}

// loadBand returns the coarse load of a share, with hysteresis so that a share
// near a border does not change the band each time.
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

// SetConfigNews tells which generation of the configuration is in force here, and
// when this daemon last heard from the store that none is newer. A zero time
// leaves the latter as it was.
func (m *Membership) SetConfigNews(generation uint64, storeConfirmed time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.own.generation = max(m.own.generation, generation)
	if storeConfirmed.After(m.own.storeConfirmed) {
		m.own.storeConfirmed = storeConfirmed
	}
}

// encode returns the bytes of a message, the same for the same message.
func encode(message proto.Message) []byte {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		// Messages of this package hold valid UTF-8 only; validate keeps it so.
		return nil
	}
	return b
}
