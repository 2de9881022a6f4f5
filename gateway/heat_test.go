package gateway

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestHotPrefixHasMoreHomes(t *testing.T) {
	c := qt.New(t)
	loads := newPrefixLoads()
	now := time.Unix(1000, 0)
	c.Check(loads.add(1, 0.3, 6, now), qt.Equals, 1)
	most := 0
	for range 40 {
		now = now.Add(250 * time.Millisecond)
		most = loads.add(1, 0.3, 6, now)
	}
	// The load is 1.2 engine seconds per second at each of six daemons, and a home takes 0.35.
	c.Check(most >= 15 && most <= 22, qt.IsTrue, qt.Commentf("%d", most))
	c.Check(loads.add(2, 0.3, 6, now), qt.Equals, 1)
	c.Check(loads.add(1, 0.3, 6, now.Add(time.Minute)), qt.Equals, 1)
}

func TestTrackedPrefixesAreBounded(t *testing.T) {
	loads := newPrefixLoads()
	now := time.Unix(1000, 0)
	for i := range uint64(3 * maxPrefixes) {
		loads.add(i, 1, 6, now)
	}
	qt.Check(t, len(loads.byPrefix) <= maxPrefixes, qt.IsTrue)
}

// TestSingleRequestDoesNotMakePrefixHotInLargeFleet guards against prefixes having several
// homes because a single request is multiplied by the number of daemons. The load is 249
// requests per second over 1,186 prefixes at 295 daemons, and a request takes about an
// eighth of an engine second.
func TestSingleRequestDoesNotMakePrefixHotInLargeFleet(t *testing.T) {
	c := qt.New(t)
	const daemons, prefixes, perSecond, work, seconds = 295, 1186, 249, 0.12, 30
	random := rand.New(rand.NewPCG(1, 2))
	loads := newPrefixLoads()
	now, requests, several := time.Unix(1000, 0), 0, 0
	for range seconds * perSecond / daemons {
		now = now.Add(time.Second * daemons / perSecond)
		requests++
		if loads.add(random.Uint64N(prefixes), work, daemons, now) > 1 {
			several++
		}
	}
	c.Check(several <= requests/10, qt.IsTrue, qt.Commentf("%d of %d have several homes", several, requests))
	// A prefix that a fifth of all requests have still has several homes.
	homes := 1
	for range seconds * perSecond / daemons {
		now = now.Add(5 * time.Second * daemons / perSecond)
		homes = max(homes, loads.add(prefixes, work, daemons, now))
	}
	c.Check(homes > 4, qt.IsTrue, qt.Commentf("%d homes", homes))
}
