package entry

import (
	"context"
	"time"

	"github.com/bronzeturn/bronzeturn/canary"
)

// sessionsOf returns the record of a service's sessions.
func (i *introductions) sessionsOf(service string) *canary.Sessions {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.sessionsLocked(service)
}

// sessionsLocked is sessionsOf for callers that hold mu.
func (i *introductions) sessionsLocked(service string) *canary.Sessions {
	s := i.sessions[service]
	if s == nil {
		s = canary.NewSessions(i.daemon.Settings.Introductions.SessionLapse)
		i.sessions[service] = s
	}
	return s
}

// pinRecentSessions pins the sessions that are in progress when an order comes to the versions before
// it. Their requests may have begun under an earlier order, and may outlast the time in which the
// new one moves no sessions. The caller holds mu.
func (i *introductions) pinRecentSessions(intro *introduction, now time.Time) {
	options := i.daemon.Settings.Introductions
	for _, session := range i.sessionsLocked(intro.Order().Service).Recent(options.SessionGap, now) {
		if options.InTrial(session) {
			intro.Pin(session)
		}
	}
}

// Began implements gateway.Introductions.
func (i *introductions) Began(service string, session uint64) { i.sessionsOf(service).Began(session) }

// Running implements gateway.Introductions.
func (i *introductions) Running(service string, session uint64, version string) {
	i.sessionsOf(service).Running(session, version)
}

// Ended implements gateway.Introductions.
func (i *introductions) Ended(service string, session uint64) { i.sessionsOf(service).Ended(session) }

// Ran implements gateway.Introductions. A session that ran on another version than the one being
// introduced stays there during the trial, also if it is in progress only because no engine of the
// new version was available.
func (i *introductions) Ran(service string, session uint64, version string, now time.Time) {
	i.sessionsOf(service).Ran(session, version, now)
	intro := i.get(service)
	if intro != nil && intro.State() < canary.Done && version != intro.Order().Target && i.daemon.Settings.Introductions.InTrial(session) {
		intro.Pin(session)
	}
}

// ConfirmOrders implements gateway.Introductions. A daemon learns of an order up to some 0.1 s after
// it was written, and would serve such sessions on the version in between until then.
func (i *introductions) ConfirmOrders(ctx context.Context, service string, session uint64, now time.Time) {
	intro := i.get(service)
	if intro == nil || intro.State() < canary.Done {
		return
	}
	if i.sessionsOf(service).Lapses(session, i.stoppedVersions(service), now).IsZero() {
		return
	}
	if err := i.daemon.copies.orders.Refresh(ctx); err != nil {
		i.daemon.log.Info().Err(err).Str("service", service).Msg("orders not confirmed by the store")
	}
}

// Lapses implements gateway.Introductions.
func (i *introductions) Lapses(service string, session uint64, now time.Time) time.Time {
	if intro := i.get(service); intro == nil || intro.State() >= canary.Done {
		return time.Time{}
	}
	return i.sessionsOf(service).Lapses(session, i.stoppedVersions(service), now)
}

// stoppedVersions returns a function that reports whether an order has ended a version of the
// service.
func (i *introductions) stoppedVersions(service string) func(version string) bool {
	return func(version string) bool {
		i.mu.Lock()
		defer i.mu.Unlock()
		if intro := i.byService[service]; intro != nil && intro.hasEnded(version) {
			return true
		}
		return i.isRetired(service, version)
	}
}

// hasEnded reports whether the outcome of the order has ended a version.
func (k *introduction) hasEnded(version string) bool {
	switch k.State() {
	case canary.Done:
		return version != k.Order().Target
	case canary.RolledBack:
		return version == k.Order().Target
	}
	return false
}

// recentlyEnded returns the introductions, by service, that have ended so recently that sessions
// of the versions that they ended may send further requests.
func (i *introductions) recentlyEnded(now time.Time) map[string]*introduction {
	i.mu.Lock()
	defer i.mu.Unlock()
	found := make(map[string]*introduction)
	for service, intro := range i.byService {
		if now.Sub(intro.ended) < i.daemon.Settings.Introductions.SessionLapse {
			found[service] = intro
		}
	}
	return found
}

// withStopped adds to a report the sessions whose last request ran on this daemon, on a version that
// has stopped.
func (i *introductions) withStopped(service string, r canary.Report, now time.Time) canary.Report {
	r.Stopped = i.sessionsOf(service).Stopped(i.stoppedVersions(service), now.Add(-r.Age), now)
	return r
}

// receiveStoppedSessions records the sessions whose last request ran on another daemon, on a version
// that has stopped.
func (i *introductions) receiveStoppedSessions(service string, r canary.Report, now time.Time) {
	sessions, ordered := i.sessionsOf(service), now.Add(-r.Age)
	for _, s := range r.Stopped {
		sessions.RanElsewhere(s.Session, ordered.Add(s.Ended))
	}
}
