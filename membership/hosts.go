package membership

import (
	"context"
	"strings"
	"time"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

const (
	// hostPoll is the time between two readings of the host list.
	hostPoll = 500 * time.Millisecond
	// hostTimeout bounds one reading.
	hostTimeout = 2 * time.Second
	// massRemoval is the share of known hosts above which a list without them is
	// believed only after massRemovalAfter.
	massRemoval      = 0.5
	massRemovalAfter = 10 * time.Second
)

// HostList is the platform's list of hosts. An adapter converts it.
type HostList interface {
	// Hosts returns the list. It may report false, and no list, when the
	// revision is still the known one.
	Hosts(ctx context.Context, known uint64) (list Hosts, changed bool, err error)
}

// Hosts is the host list at one revision.
type Hosts struct {
	// Revision rises with every change of the list.
	Revision uint64
	Hosts    []Host
}

// Host is one host of the list.
type Host struct {
	Name       string
	DataCentre string
	// Entry tells the daemons' hosts from the backend servers'.
	Entry   bool
	Leaving bool
	// Revision is the one at which the host last changed.
	Revision uint64
}

// watchHosts reads the host list while this daemon is a watcher.
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

// hostListReader is the state of one watcher.
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

// apply floods what the list changed. It reports false when the list has to be
// read again.
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

// publishHost floods the state of one host when the table holds an older one.
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

// missingHosts returns how many hosts the table holds, and those of them that a
// list of this revision no longer has.
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
