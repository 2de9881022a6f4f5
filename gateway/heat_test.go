package gateway

import (
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
