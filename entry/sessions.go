package entry

import (
	"time"

	"github.com/bronzeturn/bronzeturn/canary"
)

// sessionsOf returns the memory of a service's sessions.
func (i *introductions) sessionsOf(service string) *canary.Sessions {
	i.mu.Lock()
	defer i.mu.Unlock()
	s := i.sessions[service]
	if s == nil {
		s = canary.NewSessions(i.daemon.Settings.Introductions.SessionLapse)
		i.sessions[service] = s
	}
	return s
}

// Ran implements gateway.Introductions.
func (i *introductions) Ran(service string, session uint64, version string, now time.Time) {
	i.sessionsOf(service).Ran(session, version, now)
}

// Lapses implements gateway.Introductions.
func (i *introductions) Lapses(service string, session uint64, now time.Time) time.Time {
	if known := i.known(service); known == nil || known.State() >= canary.Done {
		return time.Time{}
	}
	return i.sessionsOf(service).Lapses(session, i.stoppedVersions(service), now)
}

// stoppedVersions returns a function that tells whether a version of the service has been
// ended by an order.
func (i *introductions) stoppedVersions(service string) func(version string) bool {
	return func(version string) bool {
		i.mu.Lock()
		defer i.mu.Unlock()
		if known := i.byService[service]; known != nil && known.ends(version) {
			return true
		}
		return i.isRetired(service, version)
	}
}

// ends tells whether the outcome of the order has ended a version.
func (k *introduction) ends(version string) bool {
	switch k.State() {
	case canary.Done:
		return version != k.Order().Target
	case canary.RolledBack:
		return version == k.Order().Target
	}
	return false
}

// settling returns the introductions that have ended so recently that sessions of the
// versions they ended may come back.
func (i *introductions) settling(now time.Time) map[string]*introduction {
	i.mu.Lock()
	defer i.mu.Unlock()
	found := make(map[string]*introduction)
	for service, known := range i.byService {
		if now.Sub(known.ended) < i.daemon.Settings.Introductions.SessionLapse {
			found[service] = known
		}
	}
	return found
}

// withStopped adds the sessions that last ran here on versions that have stopped.
func (i *introductions) withStopped(service string, r canary.Report, now time.Time) canary.Report {
	r.Stopped = i.sessionsOf(service).Stopped(i.stoppedVersions(service), now.Add(-r.Age), now)
	return r
}

// heardStopped takes in the sessions that last ran on other daemons, on versions that have
// stopped.
func (i *introductions) heardStopped(service string, r canary.Report, now time.Time) {
	sessions, ordered := i.sessionsOf(service), now.Add(-r.Age)
	for _, s := range r.Stopped {
		sessions.RanElsewhere(s.Session, ordered.Add(s.Ended))
	}
}
