package gateway

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestHotPrefixIsReadByMoreEngines(t *testing.T) {
	c := qt.New(t)
	h := newHeats()
	now := time.Unix(1000, 0)
	c.Check(h.add(1, 0.3, 6, now), qt.Equals, 1)
	most := 0
	for range 40 {
		now = now.Add(250 * time.Millisecond)
		most = h.add(1, 0.3, 6, now)
	}
	// 1.2 engine seconds a second on this daemon, six daemons, 0.35 for each home.
	c.Check(most >= 15 && most <= 22, qt.IsTrue, qt.Commentf("%d", most))
	c.Check(h.add(2, 0.3, 6, now), qt.Equals, 1)
	c.Check(h.add(1, 0.3, 6, now.Add(time.Minute)), qt.Equals, 1)
}

func TestPrefixesRememberedAreBounded(t *testing.T) {
	h := newHeats()
	now := time.Unix(1000, 0)
	for i := range uint64(3 * maxHeat) {
		h.add(i, 1, 6, now)
	}
	qt.Check(t, len(h.byPrefix) <= maxHeat, qt.IsTrue)
}

// TestPrefixOfALargeFleetIsNotHotBecauseItWasSeenOnce: pattern of hundreds of daemons that
// each see a few of a thousand prefixes a second. Grounds: 249 requests a second over 1,186
// prefixes, before 295 daemons; a request takes an eighth of an engine's second.
func TestPrefixOfALargeFleetIsNotHotBecauseItWasSeenOnce(t *testing.T) {
	c := qt.New(t)
	const daemons, prefixes, perSecond, work, seconds = 295, 1186, 249, 0.12, 30
	random := rand.New(rand.NewPCG(1, 2))
	h := newHeats()
	now, requests, several := time.Unix(1000, 0), 0, 0
	for range seconds * perSecond / daemons {
		now = now.Add(time.Second * daemons / perSecond)
		requests++
		if h.add(random.Uint64N(prefixes), work, daemons, now) > 1 {
			several++
		}
	}
	c.Check(several <= requests/10, qt.IsTrue, qt.Commentf("%d of %d have several homes", several, requests))
	// One that a fifth of all requests are about is found by every daemon all the same.
	homes := 1
	for range seconds * perSecond / daemons {
		now = now.Add(5 * time.Second * daemons / perSecond)
		homes = max(homes, h.add(prefixes, work, daemons, now))
	}
	c.Check(homes > 4, qt.IsTrue, qt.Commentf("%d homes", homes))
}
