package occupancy

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestPermitsStayWithinTheRate draws a rate and how often permits are asked for.
func TestPermitsStayWithinTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.SampledFrom([]float64{0.1, 0.9, 4.5, 60}).Draw(t, "rate")
		demand := rapid.SampledFrom([]float64{0.5, 2, 20}).Draw(t, "demand")
		random := rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "seed")))
		const window, length = 4 * time.Second, 60 * time.Second
		store := NewStore()
		var granted []time.Time
		for now := start; now.Before(start.Add(length)); now = now.Add(time.Duration(random.ExpFloat64() / (rate * demand) * float64(time.Second))) {
			store.Expire(now)
			grant := store.Permit(5, rate, now)
			if grant.Granted {
				granted = append(granted, now)
			} else if grant.RetryAfter <= 0 {
				t.Fatalf("refused without the time until the next permit")
			}
		}
		first := 0
		for i, at := range granted {
			for at.Sub(granted[first]) >= window {
				first++
			}
			if got := float64(i - first + 1); got > rate*window.Seconds()+2 {
				t.Fatalf("%v permits in %v at %v a second", got, window, rate)
			}
		}
		if could := rate * length.Seconds(); demand >= 20 && float64(len(granted)) < 0.9*could-1 {
			t.Fatalf("%d permits of %v were granted", len(granted), could)
		}
	})
}

// TestFirstPermitIsNotGrantedAtOnce guards against a daemon that begins to grant permits right after
// another one has granted some.
func TestFirstPermitIsNotGrantedAtOnce(t *testing.T) {
	c := qt.New(t)
	store := NewStore()
	c.Check(store.Permit(5, 2, start), qt.Equals, Grant{RetryAfter: 500 * time.Millisecond})
	c.Check(store.Permit(5, 2, start.Add(500*time.Millisecond)).Granted, qt.IsTrue)
	c.Check(store.Permit(5, 0.01, start.Add(time.Second)).Granted, qt.IsTrue)
	for n := range 5 {
		now := start.Add(time.Duration(n) * time.Minute)
		store.Expire(now)
		c.Check(store.Permit(6, 2, now).Granted, qt.Equals, n > 0, qt.Commentf("a request every minute"))
	}
	c.Check(store.Permit(5, 10, start.Add(time.Second)), qt.Equals, Grant{RetryAfter: 100 * time.Millisecond}, qt.Commentf("the limit has risen"))
}

// TestPermitsAreGrantedInOnePlace guards against a limit that is granted twice: a daemon whose calls to
// the keeper fail must not ask a backup, as the keeper may go on to grant permits to others.
func TestPermitsAreGrantedInOnePlace(t *testing.T) {
	for name, fault := range keeperFaults {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			keeper, backup := newDirectClient(), newDirectClient()
			client := newBackedClient(keeper, backup)
			_, decided := client.Permit(context.Background(), "e", 100)
			c.Check(decided, qt.IsTrue)
			fault(keeper)
			for range 2 {
				_, decided = client.Permit(context.Background(), "e", 100)
				c.Check(decided, qt.IsFalse)
			}
			c.Check(keeper.calls.Load(), qt.Equals, int64(2), qt.Commentf("not asked again at once"))
			c.Check(backup.calls.Load(), qt.Equals, int64(0))
		})
	}
}
