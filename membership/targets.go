package membership

import (
	"slices"
	"time"

	"github.com/bronzeturn/bronzeturn/gossip"
)

// setTargets updates the daemons that the overlay keeps links to: the neighbours among all
// daemons, so that a daemon that was cut off is found again, and the neighbours among the live
// daemons, so that the overlay stays connected meanwhile. In addition, one suspected daemon at
// a time is probed, because two partitions of the fleet may contain no neighbours of each
// other.
func (m *Membership) setTargets() {
	m.targetsMu.Lock()
	defer m.targetsMu.Unlock()
	v := m.view.Load()
	names := m.neighbours(v)
	m.updateContacts(names, time.Now())
	if probe := m.probeName(v); probe != "" && !slices.Contains(names, probe) {
		names = append(names, probe)
	}
	var targets []gossip.Target
	for _, name := range names {
		member, _ := v.Member(name)
		targets = append(targets, gossip.Target{Name: name, Address: member.PeerAddress})
	}
	targets = append(targets, m.seedTargets(v)...)
	m.node.SetTargets(targets)
}

// probeName returns the suspected daemon to probe, or "" if there is none.
func (m *Membership) probeName(v *View) string {
	var suspected []string
	for _, member := range v.Members {
		if member.State == Suspected {
			suspected = append(suspected, member.Name)
		}
	}
	if len(suspected) == 0 {
		return ""
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return suspected[m.probeIndex%len(suspected)]
}

// neighbours returns the names of the neighbours. Leaving daemons stay neighbours, since they
// finish their requests and must receive updates until they stop.
func (m *Membership) neighbours(v *View) []string {
	self := m.options.Self
	names := v.rings.neighbours(self.Name, self.DataCentre)
	var live []Member
	for _, member := range v.Members {
		if member.State == Live {
			live = append(live, member)
		}
	}
	if len(live) == len(v.Members) {
		return names
	}
	names = append(names, newRings(live).neighbours(self.Name, self.DataCentre)...)
	slices.Sort(names)
	return slices.Compact(names)
}

// seedTargets returns targets for the seed addresses at which no daemon is known yet.
func (m *Membership) seedTargets(v *View) []gossip.Target {
	known := make(map[string]struct{}, len(v.Members)+1)
	known[m.options.Self.PeerAddress] = struct{}{}
	for _, member := range v.Members {
		known[member.PeerAddress] = struct{}{}
	}
	var targets []gossip.Target
	for _, address := range m.seeds() {
		if _, ok := known[address]; !ok && len(targets) < maxSeedTargets {
			targets = append(targets, gossip.Target{Address: address})
		}
	}
	return targets
}

// seeds returns the configured and the discovered seed addresses.
func (m *Membership) seeds() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Concat(m.options.Seeds, m.foundSeeds)
}

// SetFoundSeeds replaces the discovered seed addresses. Like the configured ones, each is
// dialled until the daemon at that address is known by name.
func (m *Membership) SetFoundSeeds(addresses []string) {
	m.mu.Lock()
	m.foundSeeds = slices.Clone(addresses)
	m.mu.Unlock()
	m.setTargets()
}

// probeDue reports whether probeInterval has passed, and if so selects the suspected daemon to
// probe at random.
func (m *Membership) probeDue(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(m.lastProbe) < probeInterval {
		return false
	}
	m.lastProbe = now
	m.probeIndex = m.options.Random.IntN(maxDaemons)
	return true
}
