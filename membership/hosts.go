package membership

import (
	"context"
	"strings"
	"time"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

const (
	// hostPoll is the interval between reads of the host list.
	hostPoll = 500 * time.Millisecond
	// hostTimeout limits the duration of one read.
	hostTimeout = 2 * time.Second
	// massRemoval is the share of known hosts that may disappear from the list at once. If more
	// are missing, they are removed only after massRemovalAfter, since the list is then more
	// likely to be incomplete than correct.
	massRemoval      = 0.5
	massRemovalAfter = 10 * time.Second
)

// HostList reads the platform's list of hosts. Implementations adapt the platform's API.
type HostList interface {
	// Hosts returns the current list. If its revision is still the known one, it may return
	// changed as false and no list.
	Hosts(ctx context.Context, known uint64) (list Hosts, changed bool, err error)
}

// Hosts is the host list at one revision.
type Hosts struct {
	// Revision increases with every change of the list.
	Revision uint64
	Hosts    []Host
}

// Host is one host of the list.
type Host struct {
	Name       string
	DataCentre string
	// Entry is true for hosts that run a daemon and false for backend servers.
	Entry   bool
	Leaving bool
	// Revision is the revision of the list at which the host last changed.
	Revision uint64
}

// watchHosts polls the host list as long as this daemon is a watcher.
func (m *Membership) watchHosts() error {
	ticker := time.NewTicker(hostPoll)
	defer ticker.Stop()
	w := &hostListReader{membership: m}
	for {
		select {
		case <-m.tomb.Dying():
			return nil
		case <-ticker.C:
			if m.IsWatcher() {
				w.read(m.tomb.Context(context.Background()))
			} else {
				w.known = 0
			}
		}
	}
}

// hostListReader is the polling state of a watcher.
type hostListReader struct {
	membership       *Membership
	known            uint64
	failed           bool
	massRemovalSince time.Time
}

func (w *hostListReader) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, hostTimeout)
	defer cancel()
	list, changed, err := w.membership.options.HostList.Hosts(ctx, w.known)
	if err != nil {
		if !w.failed {
			w.membership.log.Warn().Err(err).Msg("host list not read")
		}
		w.failed = true
		return
	}
	w.failed = false
	if !changed {
		return
	}
	if w.apply(list, time.Now()) {
		w.known = list.Revision
	}
}

// apply publishes the differences between the list and the table. It returns false if the list
// must be read again because too many hosts are missing from it.
func (w *hostListReader) apply(list Hosts, now time.Time) bool {
	m := w.membership
	listed := make(map[string]struct{}, len(list.Hosts))
	for _, h := range list.Hosts {
		if !validName(h.Name) {
			continue
		}
		listed[h.Name] = struct{}{}
		m.publishHost(h)
	}
	known, missing := m.missingHosts(listed, list.Revision)
	if float64(len(missing)) > massRemoval*float64(known) {
		if w.massRemovalSince.IsZero() {
			w.massRemovalSince = now
			m.log.Warn().Int("missing", len(missing)).Int("known", known).Msg("host list lost most hosts, waiting")
		}
		if now.Sub(w.massRemovalSince) < massRemovalAfter {
			return false
		}
	}
	w.massRemovalSince = time.Time{}
	for _, name := range missing {
		m.publish(hostPrefix+name, list.Revision, nil)
	}
	return true
}

// publishHost publishes the state of a host unless the table holds the same or a later
// revision.
func (m *Membership) publishHost(h Host) {
	key := hostPrefix + h.Name
	if version, _, ok := m.node.Get(key); ok && version >= h.Revision {
		return
	}
	m.publish(key, h.Revision, encode(&bronzeturnv1.HostState{
		DataCentre: h.DataCentre,
		Leaving:    h.Leaving,
		Entry:      h.Entry,
	}))
}

// missingHosts returns the number of hosts in the table, and the names of those that are not
// listed and whose entry is older than the revision of the list.
func (m *Membership) missingHosts(listed map[string]struct{}, revision uint64) (known int, missing []string) {
	m.node.Each(hostPrefix, func(key string, version uint64, value []byte) {
		if len(value) == 0 {
			return
		}
		known++
		name := strings.TrimPrefix(key, hostPrefix)
		if _, ok := listed[name]; !ok && version < revision {
			missing = append(missing, name)
		}
	})
	return known, missing
}
