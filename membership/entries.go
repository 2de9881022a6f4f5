package membership

import (
	"math/rand/v2"
	"time"
)

const (
	// minEntriesTTL and maxEntriesTTL bound how long callers may cache a list of entry
	// addresses.
	minEntriesTTL = 5 * time.Second
	maxEntriesTTL = 60 * time.Second
	// maxChangedShare is the share of the fleet that may stop being live while a list is
	// cached.
	maxChangedShare = 0.05
	// changeWindow is the period over which changes are counted.
	changeWindow = 5 * time.Minute
	// maxChanges limits the number of recorded changes.
	maxChanges = 512
	// maxEntryAddresses is the maximum number of addresses in a list, and localEntryAddresses
	// how many of them come first from the caller's own data centre.
	maxEntryAddresses   = 3
	localEntryAddresses = 2
)

// changeLog records when daemons stopped being live.
type changeLog struct {
	times     []time.Time
	lastCount int
}

// add records n changes at the time now.
func (c *changeLog) add(now time.Time, n int) {
	for range min(n, maxChanges) {
		c.times = append(c.times, now)
	}
	if over := len(c.times) - maxChanges; over > 0 {
		c.times = append([]time.Time(nil), c.times[over:]...)
	}
}

// count returns the number of changes within changeWindow.
func (c *changeLog) count(now time.Time) int {
	for len(c.times) > 0 && now.Sub(c.times[0]) > changeWindow {
		c.times = c.times[1:]
	}
	c.lastCount = len(c.times)
	return c.lastCount
}

// anyExpired reports whether changes have left the window since the last call of count.
func (c *changeLog) anyExpired(now time.Time) bool {
	return c.lastCount > 0 && len(c.times) > 0 && now.Sub(c.times[0]) > changeWindow
}

// membersChanged counts the daemons that were live in the old view and are not in the new one.
// A joining daemon is not counted, since it does not invalidate a cached list.
func membersChanged(old, v *View) int {
	n := 0
	for _, before := range old.Members {
		if before.State != Live {
			continue
		}
		if after, ok := v.Member(before.Name); !ok || after.State != Live {
			n++
		}
	}
	return n
}

// entriesTTLFor returns how long a list may be cached so that, at the recent rate of changes,
// at most maxChangedShare of the daemons change during that time.
func entriesTTLFor(changes, members int) time.Duration {
	if changes == 0 {
		return maxEntriesTTL
	}
	ttl := time.Duration(maxChangedShare * float64(members) * float64(changeWindow) / float64(changes))
	return min(max(ttl, minEntriesTTL), maxEntriesTTL)
}

// Entries returns the caller addresses of up to three live daemons, in the order of preference,
// and how long the caller may cache them. The first two are in the caller's data centre if it
// has enough live daemons. The last is in another data centre, as a fallback when the caller's
// own fails, or also in the caller's if no other has live daemons. Daemons are drawn at random,
// weighted by free capacity. random is not used after the call returns.
func (m *Membership) Entries(callerDataCentre string, random *rand.Rand) (addresses []string, ttl time.Duration) {
	v := m.view.Load()
	return v.Entries(callerDataCentre, random), v.EntriesTTL
}

// Entries returns the caller addresses described at Membership.Entries.
func (v *View) Entries(callerDataCentre string, random *rand.Rand) []string {
	var near, far []Member
	for _, m := range v.Members {
		switch {
		case m.State != Live || m.CallerAddress == "":
		case m.DataCentre == callerDataCentre:
			near = append(near, m)
		default:
			far = append(far, m)
		}
	}
	addresses, near := drawAddresses(nil, near, localEntryAddresses, random)
	addresses, _ = drawAddresses(addresses, far, maxEntryAddresses-len(addresses), random)
	addresses, _ = drawAddresses(addresses, near, maxEntryAddresses-len(addresses), random)
	return addresses
}

// drawAddresses appends n addresses, drawn without replacement with a probability proportional
// to the free capacity according to the coarse load. It also returns the members not drawn.
func drawAddresses(addresses []string, members []Member, n int, random *rand.Rand) ([]string, []Member) {
	for ; n > 0 && len(members) > 0; n-- {
		total := 0
		for _, m := range members {
			total += weight(m)
		}
		i, left := 0, random.IntN(total)
		for left >= weight(members[i]) {
			left -= weight(members[i])
			i++
		}
		addresses = append(addresses, members[i].CallerAddress)
		members[i] = members[len(members)-1]
		members = members[:len(members)-1]
	}
	return addresses, members
}

func weight(m Member) int { return 1 + MaxLoad - m.Load }
