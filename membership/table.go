package membership

import (
	"strings"

	"google.golang.org/protobuf/proto"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// daemonChanged processes a change of the entry "daemon/NAME". An entry that cannot be decoded
// is treated as absent.
func (m *Membership) daemonChanged(key string, _ uint64, value []byte) {
	name := strings.TrimPrefix(key, daemonPrefix)
	state := &bronzeturnv1.DaemonState{}
	gone := len(value) == 0 || proto.Unmarshal(value, state) != nil
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case name == m.options.Self.Name:
		m.records.daemons[name] = m.own.message()
	case gone:
		delete(m.records.daemons, name)
	default:
		m.records.daemons[name] = state
	}
	m.requestRebuild()
}

// suspicionChanged processes a change of the entry "suspect/TARGET/REPORTER".
func (m *Membership) suspicionChanged(key string, _ uint64, value []byte) {
	target, reporter, ok := parseSuspectKey(key)
	if !ok {
		return
	}
	s := &bronzeturnv1.Suspicion{}
	gone := len(value) == 0 || proto.Unmarshal(value, s) != nil
	m.mu.Lock()
	defer m.mu.Unlock()
	if gone {
		delete(m.records.suspicions[target], reporter)
		if len(m.records.suspicions[target]) == 0 {
			delete(m.records.suspicions, target)
		}
	} else {
		if m.records.suspicions[target] == nil {
			m.records.suspicions[target] = make(map[string]suspicion)
		}
		m.records.suspicions[target][reporter] = suspicion{incarnation: s.GetIncarnation(), reason: s.GetReason()}
	}
	m.requestRebuild()
}

// hostChanged processes a change of the entry "host/NAME". An expired removal has version zero;
// the host is then treated as one that was never listed.
func (m *Membership) hostChanged(key string, version uint64, value []byte) {
	host := strings.TrimPrefix(key, hostPrefix)
	state := hostLive
	message := &bronzeturnv1.HostState{}
	switch {
	case version == 0:
		state = hostLive
	case len(value) == 0:
		state = hostRemoved
	case proto.Unmarshal(value, message) != nil:
		return
	case message.GetLeaving():
		state = hostLeaving
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if state == hostLive {
		delete(m.records.hosts, host)
	} else {
		m.records.hosts[host] = state
	}
	m.requestRebuild()
}

// storeLeavingHostsLocked updates the set that BackendLeaving reads.
func (m *Membership) storeLeavingHostsLocked() {
	old := *m.leavingHosts.Load()
	same := len(old) == len(m.records.hosts)
	set := make(map[string]struct{}, len(m.records.hosts))
	for host := range m.records.hosts {
		set[host] = struct{}{}
		if _, ok := old[host]; !ok {
			same = false
		}
	}
	if !same {
		m.leavingHosts.Store(&set)
	}
}
