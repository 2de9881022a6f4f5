package membership

import (
	"errors"
	"time"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/gossip"
)

const (
	// heardWithin is the maximum age of the last heartbeat for a neighbour to count as heard.
	heardWithin = suspectAfter
	// newsHopDelay is added to the age of configuration news for each daemon that relays it,
	// because the transmission time cannot be measured. It keeps the reported age from being
	// too low.
	newsHopDelay = 100 * time.Millisecond
	// contactRetention is how long the contact to a former neighbour is kept.
	contactRetention = time.Minute
)

// contact is what this daemon has observed directly about another daemon.
type contact struct {
	// monitored is whether the daemon is a neighbour at present.
	monitored bool
	// since is when the daemon became a neighbour, or when this daemon last resumed from a
	// pause of its own.
	since time.Time
	// heard is when the last heartbeat arrived, and heartbeat its content. lost is the last
	// failure of a link to the daemon, nil once a heartbeat arrives.
	heard     time.Time
	heartbeat *bronzeturnv1.Heartbeat
	lost      error

	// reported is whether this daemon has published a suspicion that it has not withdrawn.
	// report and reportedAt describe the last one published.
	reported   bool
	report     suspicion
	reportedAt time.Time
}

// silent reports whether the neighbour has exceeded the silence limit that applies to it.
func (c *contact) silent(now time.Time) bool {
	if c.heard.IsZero() {
		return now.Sub(c.since) > neverHeardAfter
	}
	if c.since.After(c.heard) {
		return now.Sub(c.since) > suspectAfter
	}
	return now.Sub(c.heard) > suspectAfter
}

// reason distinguishes a neighbour to which no connection can be opened from one that accepts
// connections but does not respond.
func (c *contact) reason() bronzeturnv1.SuspicionReason {
	var dial dialFailure
	if errors.As(c.lost, &dial) && dial.ConnectFailed() {
		return bronzeturnv1.SuspicionReason_SUSPICION_REASON_UNREACHABLE
	}
	return bronzeturnv1.SuspicionReason_SUSPICION_REASON_FROZEN
}

// dialFailure is implemented by dialer errors that report whether the connection could not be
// opened.
type dialFailure interface {
	error
	ConnectFailed() bool
}

// observer receives the events of the overlay links.
type observer Membership

// HeartbeatReceived implements gossip.Observer.
func (o *observer) HeartbeatReceived(name string, heartbeat *bronzeturnv1.Heartbeat) {
	m := (*Membership)(o)
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.contactLocked(name)
	c.heard = time.Now()
	c.heartbeat = heartbeat
	c.lost = nil
}

// LinkLost implements gossip.Observer.
func (o *observer) LinkLost(target gossip.Target, err error) {
	m := (*Membership)(o)
	if target.Name == "" {
		m.log.Debug().Str("address", target.Address).Err(err).Msg("seed not reached")
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.contactLocked(target.Name).lost = err
}

func (m *Membership) contactLocked(name string) *contact {
	c := m.contacts[name]
	if c == nil {
		c = &contact{since: time.Now()}
		m.contacts[name] = c
	}
	return c
}

// updateContacts marks the named daemons as neighbours and deletes the contacts of former
// neighbours after contactRetention.
func (m *Membership) updateContacts(names []string, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	wanted := make(map[string]struct{}, len(names))
	for _, name := range names {
		wanted[name] = struct{}{}
		c := m.contactLocked(name)
		if !c.monitored {
			c.monitored = true
			c.since = now
		}
	}
	for name, c := range m.contacts {
		if _, ok := wanted[name]; ok {
			continue
		}
		c.monitored = false
		if now.Sub(c.heard) > contactRetention && now.Sub(c.since) > contactRetention {
			m.withdrawLocked(name, c)
			delete(m.contacts, name)
		}
	}
}

// tick checks the neighbours for silence and maintains the entry of this daemon.
func (m *Membership) tick(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.lastTick.IsZero() && now.Sub(m.lastTick) > pausedAfter {
		m.resetSilenceLocked(now)
	}
	m.lastTick = now
	m.maintainOwnLocked(now)
	for name, c := range m.contacts {
		m.updateReportLocked(name, c, now)
	}
	if m.changes.anyExpired(now) {
		m.requestRebuild()
	}
}

// resetSilenceLocked restarts the silence timers of all neighbours after this daemon itself was
// paused, because it could not receive their heartbeats meanwhile.
func (m *Membership) resetSilenceLocked(now time.Time) {
	m.log.Warn().Dur("gap", now.Sub(m.lastTick)).Msg("this daemon was paused")
	for _, c := range m.contacts {
		c.since = now
	}
}

// updateReportLocked publishes a suspicion of a silent neighbour, or withdraws it once the
// neighbour is heard.
func (m *Membership) updateReportLocked(name string, c *contact, now time.Time) {
	if !c.silent(now) {
		m.withdrawLocked(name, c)
		return
	}
	d := m.records.daemons[name]
	if !c.monitored || d == nil || d.GetLeaving() {
		return
	}
	next := suspicion{incarnation: d.GetIncarnation(), reason: c.reason()}
	if c.reported && !m.reportDue(name, c, next, now) {
		return
	}
	c.reported, c.report, c.reportedAt = true, next, now
	value := encode(&bronzeturnv1.Suspicion{Incarnation: next.incarnation, Reason: next.reason})
	m.publish(suspectKey(name, m.options.Self.Name), m.own.nextVersion(), value)
	m.log.Warn().Str("daemon", name).Str("reason", next.reason.String()).AnErr("cause", c.lost).Msg("neighbour suspected")
}

// reportDue reports whether a published suspicion must be published again: because the reason
// has become UNREACHABLE, to keep the entry from expiring, or because the target refuted it. A
// refuted suspicion is repeated only after refutedRetryAfter, since this daemon may be the one
// that is cut off, or as soon as another neighbour suspects the new incarnation.
func (m *Membership) reportDue(name string, c *contact, next suspicion, now time.Time) bool {
	age := now.Sub(c.reportedAt)
	if next.incarnation != c.report.incarnation {
		return age > refutedRetryAfter || m.suspectedByOther(name, next.incarnation)
	}
	if next.reason != c.report.reason {
		return next.reason == bronzeturnv1.SuspicionReason_SUSPICION_REASON_UNREACHABLE
	}
	return age > refreshSuspicion
}

// suspectedByOther reports whether another daemon suspects this incarnation or a later one.
func (m *Membership) suspectedByOther(name string, incarnation uint64) bool {
	for reporter, c := range m.records.suspicions[name] {
		if reporter != m.options.Self.Name && c.incarnation >= incarnation {
			return true
		}
	}
	return false
}

// withdrawLocked removes the published suspicion of a neighbour.
func (m *Membership) withdrawLocked(name string, c *contact) {
	if !c.reported {
		return
	}
	c.reported = false
	m.publish(suspectKey(name, m.options.Self.Name), m.own.nextVersion(), nil)
}

// ownSampleLocked returns the number of neighbours and how many of them are heard.
func (m *Membership) ownSampleLocked(now time.Time) (known, heard int) {
	for _, c := range m.contacts {
		if !c.monitored {
			continue
		}
		known++
		if !c.heard.IsZero() && now.Sub(c.heard) <= heardWithin {
			heard++
		}
	}
	return known, heard
}

// sample adds the counts that the heard neighbours report in their heartbeats to those of this
// daemon.
func (m *Membership) sample() (known, heard int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	known, heard = m.ownSampleLocked(now)
	for _, c := range m.contacts {
		if c.heartbeat == nil || now.Sub(c.heard) > heardWithin {
			continue
		}
		known += int(c.heartbeat.GetPeersKnown())
		heard += int(c.heartbeat.GetPeersHeard())
	}
	return known, heard
}

// PeersKnown returns the sum of the neighbour counts of this daemon and of the neighbours that
// it hears. The same daemon may be counted several times, so the result is a sample of the
// fleet, not its size.
func (m *Membership) PeersKnown() int {
	known, _ := m.sample()
	return known
}

// PeersHeard returns how many of the neighbours counted by PeersKnown are heard.
func (m *Membership) PeersHeard() int {
	_, heard := m.sample()
	return heard
}

// ConfigNewsAge returns the time since the store was last known to hold no newer configuration
// than the one in force on this daemon, either from the store itself or relayed by neighbours.
// It returns false if this was never known.
func (m *Membership) ConfigNewsAge() (age time.Duration, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.configNewsAgeLocked(time.Now())
}

func (m *Membership) configNewsAgeLocked(now time.Time) (age time.Duration, ok bool) {
	if !m.own.storeConfirmed.IsZero() {
		age, ok = now.Sub(m.own.storeConfirmed), true
	}
	for _, c := range m.contacts {
		h := c.heartbeat
		if h.GetNewsAgeMs() == 0 || h.GetConfigGeneration() > m.own.generation {
			continue
		}
		relayed := now.Sub(c.heard) + time.Duration(h.GetNewsAgeMs())*time.Millisecond + newsHopDelay
		if !ok || relayed < age {
			age, ok = relayed, true
		}
	}
	return age, ok
}
