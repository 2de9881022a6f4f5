package membership

import (
	"math/rand/v2"
	"time"
)

const (
	// minEntriesTTL and maxEntriesTTL bound how long callers may keep an answer.
	minEntriesTTL = 5 * time.Second
	maxEntriesTTL = 60 * time.Second
	// maxChangedShare is the share of daemons that may change while an answer is kept.
	maxChangedShare = 0.05
	// changeWindow is the time over which changes are counted.
	changeWindow = 5 * time.Minute
	// maxChanges bounds the changes remembered.
	maxChanges = 512
	// maxEntryAddresses is how many addresses an answer names at most, localEntryAddresses how
	// many of them in the caller's own data centre.
	maxEntryAddresses   = 3
	localEntryAddresses = 2
)

// changeLog remembers when daemons came, went or changed their state.
type changeLog struct {
	times     []time.Time
	lastCount int
}

// add notes n changes.
func (c *changeLog) add(now time.Time, n int) {
	for range min(n, maxChanges) {
		c.times = append(c.times, now)
	}
	if over := len(c.times) - maxChanges; over > 0 {
		c.times = append([]time.Time(nil), c.times[over:]...)
	}
}

// count returns the changes within the window.
func (c *changeLog) count(now time.Time) int {
	for len(c.times) > 0 && now.Sub(c.times[0]) > changeWindow {
		c.times = c.times[1:]
	}
	c.lastCount = len(c.times)
	return c.lastCount
}

// anyExpired tells whether changes have left the window since the last count.
func (c *changeLog) anyExpired(now time.Time) bool {
	return c.lastCount > 0 && len(c.times) > 0 && now.Sub(c.times[0]) > changeWindow
}

// membersChanged counts the daemons that stopped being live between two views.
// A daemon that joins makes no kept answer wrong.
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

// entriesTTLFor returns how long an answer may be kept, such that at the recent rate
// of changes at most maxChangedShare of the daemons change meanwhile.
func entriesTTLFor(changes, members int) time.Duration {
	if changes == 0 {
		return maxEntriesTTL
	}
	keep := time.Duration(maxChangedShare * float64(members) * float64(changeWindow) / float64(changes))
	return min(max(keep, minEntriesTTL), maxEntriesTTL)
}

// Entries returns caller addresses of live daemons, best first, and how long
// the caller may keep them. The first ones are in the caller's data centre when
// it has any, the last one elsewhere, for when that data centre fails, or there
// too when no other has any. Callers are spread by load. random is used by this call only.
func (m *Membership) Entries(callerDataCentre string, random *rand.Rand) (addresses []string, keep time.Duration) {
	v := m.view.Load()
	return v.Entries(callerDataCentre, random), v.EntriesTTL
}

// Entries returns caller addresses of live daemons for a caller, best first.
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

// drawAddresses appends n addresses, drawn without replacement in proportion to the free
// capacity that the coarse load leaves. It also returns the members left.
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
