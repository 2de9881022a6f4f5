package membership

import (
	"errors"
	"time"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/gossip"
)

const (
	// heardWithin is how old a heartbeat may be for the neighbour to count as
	// heard.
	heardWithin = suspectAfter
	// newsHopDelay is added to the age of news for each daemon it passed, since the
	// time on the wire cannot be seen.
	newsHopDelay = 100 * time.Millisecond
	// contactRetention is how long the contact to a former neighbour is kept.
	contactRetention = time.Minute
)

// contact is what this daemon knows first hand about another.
type contact struct {
	monitored bool
	// since is when the contact became a neighbour, or when this daemon gave all
	// its neighbours a fresh start.
	since     time.Time
	heard     time.Time
	heartbeat *bronzeturnv1.Heartbeat
	lost      error

	reported   bool
	report     suspicion
	reportedAt time.Time
}

// silent tells whether the neighbour has been silent for too long.
func (c *contact) silent(now time.Time) bool {
	if c.heard.IsZero() {
		return now.Sub(c.since) > neverHeardAfter
	}
	if c.since.After(c.heard) {
		return now.Sub(c.since) > suspectAfter
	}
	return now.Sub(c.heard) > suspectAfter
}

// reason tells apart a neighbour that cannot be reached from one that can, but
// does not answer.
func (c *contact) reason() bronzeturnv1.SuspicionReason {
	var dial dialFailure
	if errors.As(c.lost, &dial) && dial.ConnectFailed() {
		return bronzeturnv1.SuspicionReason_SUSPICION_REASON_UNREACHABLE
	}
	return bronzeturnv1.SuspicionReason_SUSPICION_REASON_FROZEN
}

// dialFailure is an error of a dialer that tells whether no connection could be
// opened.
type dialFailure interface {
	error
	ConnectFailed() bool
}

// observer takes in what the links tell.
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

// updateContacts sets which contacts are neighbours and forgets old ones.
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

// tick looks at the neighbours and at this daemon's own entry.
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

// resetSilenceLocked forgives the neighbours' silence, since this daemon itself
// was paused.
func (m *Membership) resetSilenceLocked(now time.Time) {
	m.log.Warn().Dur("gap", now.Sub(m.lastTick)).Msg("this daemon was paused")
	for _, c := range m.contacts {
		c.since = now
	}
}

// updateReportLocked reports a silent neighbour, or withdraws the report.
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

// reportDue tells whether a report that stands has to be made again: with a more
// certain reason, to keep it from expiring, or after it was refuted. A refuted
// one rests for a while, since this daemon may be the one that is cut off, but
// not when another neighbour reports the daemon again.
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

// suspectedByOther tells whether another daemon suspects this incarnation.
func (m *Membership) suspectedByOther(name string, incarnation uint64) bool {
	for reporter, c := range m.records.suspicions[name] {
		if reporter != m.options.Self.Name && c.incarnation >= incarnation {
			return true
		}
	}
	return false
}

// withdrawLocked takes back a report.
func (m *Membership) withdrawLocked(name string, c *contact) {
	if !c.reported {
		return
	}
	c.reported = false
	m.publish(suspectKey(name, m.options.Self.Name), m.own.nextVersion(), nil)
}

// ownSampleLocked counts the neighbours expected and those heard.
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

// sample adds up what this daemon and the neighbours that it hears say about
// their neighbours.
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

// PeersKnown returns the size of the sample behind PeersHeard: the neighbours
// that this daemon and those it hears expect to hear. It is a sample of the
// fleet, not a count of it.
func (m *Membership) PeersKnown() int {
	known, _ := m.sample()
	return known
}

// PeersHeard returns how many of that sample are heard.
func (m *Membership) PeersHeard() int {
	_, heard := m.sample()
	return heard
}

// ConfigNewsAge returns how long ago the store was known to hold no newer configuration
// than the one in force here, first hand or through neighbours. It reports
// false when that was never known.
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
