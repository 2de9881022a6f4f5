package membership

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestConcurrentJoinThroughOneSeed guards against slow convergence and repeated dials of the
// seed when more daemons than the seed's link limit start at once and know only that seed.
func TestConcurrentJoinThroughOneSeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const daemons, timeout, maxDials = 240, 5 * time.Second, 2 * 240
		c := qt.New(t)
		n := newNetwork(2 * time.Millisecond)
		defer n.stopAll()
		var all []*Membership
		for i := range daemons {
			all = append(all, n.start(t, fmt.Sprintf("daemon-%03d", i), fmt.Sprintf("hall-%d", i%3), nil, "daemon-000"))
		}
		started := time.Now()
		minLive := func() int {
			live := daemons
			for _, m := range all {
				live = min(live, m.View().Live())
			}
			return live
		}
		for minLive() < daemons && time.Since(started) < timeout {
			time.Sleep(100 * time.Millisecond)
		}
		n.mu.Lock()
		dials := n.dials["daemon-000"]
		n.mu.Unlock()
		c.Check(minLive(), qt.Equals, daemons)
		c.Check(dials <= maxDials, qt.IsTrue, qt.Commentf("the seed was dialled %d times", dials))
	})
}
