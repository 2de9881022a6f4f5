package occupancy

import (
	"context"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1/bronzeturnv1connect"
)

// TestGrantedSlotsDoNotExceedThoseOfTheEngine guards against more requests in progress than an engine
// has slots, with messages of daemons that are lost or arrive late.
func TestGrantedSlotsDoNotExceedThoseOfTheEngine(t *testing.T) {
	const engine, daemons = 5, 4
	rapid.Check(t, func(t *rapid.T) {
		store := NewStore()
		slots := rapid.IntRange(1, 6).Draw(t, "slots")
		var inProgress [daemons]int64
		names := [daemons]string{"a", "b", "c", "d"}
		type report struct {
			daemon   int
			sequence uint64
			requests int64
		}
		var late []report
		now, sequence := start, uint64(0)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
			d := rapid.IntRange(0, daemons-1).Draw(t, "daemon")
			sequence++
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				grant := store.Reserve(Reservation{
					Daemon: names[d], Sequence: sequence, Engine: engine, Slots: slots, InProgress: inProgress[d] + 1, Tolerated: 4,
				}, now)
				if grant.Granted {
					inProgress[d]++
				}
			case 2:
				inProgress[d] = max(inProgress[d]-1, 0)
				late = append(late, report{d, sequence, inProgress[d]})
			default:
				if len(late) > 0 {
					i := rapid.IntRange(0, len(late)-1).Draw(t, "report")
					store.Record(names[late[i].daemon], late[i].sequence, engine, Load{Requests: late[i].requests}, now)
					late = append(late[:i], late[i+1:]...)
				}
			}
			sum := int64(0)
			for _, n := range inProgress {
				sum += n
			}
			if sum > int64(slots) {
				t.Fatalf("%d requests in progress at %d slots", sum, slots)
			}
		}
	})
}

// reserve asks for a slot for a daemon that has one request in progress with the new one.
func reserve(s *Store, daemon string, sequence uint64, slots int, now time.Time) Grant {
	return s.Reserve(Reservation{Daemon: daemon, Sequence: sequence, Engine: 5, Slots: slots, InProgress: 1, Tolerated: 4}, now)
}

// TestSlotsOfLostDaemonsAreFree guards against slots that stay idle after the death of the daemons
// that held them.
func TestSlotsOfLostDaemonsAreFree(t *testing.T) {
	c := qt.New(t)
	store := NewStore()
	c.Check(reserve(store, "a", 1, 1, start).Granted, qt.IsTrue)
	c.Check(reserve(store, "b", 2, 1, start).Granted, qt.IsFalse)
	store.Forget(func(daemon string) bool { return daemon != "a" })
	c.Check(reserve(store, "b", 3, 1, start).Granted, qt.IsTrue)
	c.Check(reserve(store, "c", 4, 1, start.Add(slotTTL)).Granted, qt.IsFalse)
	c.Check(reserve(store, "c", 5, 1, start.Add(slotTTL+time.Millisecond)).Granted, qt.IsTrue, qt.Commentf("b has reported nothing since"))
}

// TestRefusalLowersTheRoom guards against refusals that follow each other, and against room that is
// never used again.
func TestRefusalLowersTheRoom(t *testing.T) {
	c := qt.New(t)
	store := NewStore()
	for i := range 4 {
		c.Assert(reserve(store, string(rune('a'+i)), uint64(i+1), 4, start).Granted, qt.IsTrue)
	}
	store.Refused(5, start)
	store.Record("d", 10, 5, Load{}, start)
	c.Check(reserve(store, "e", 11, 4, start), qt.Equals, Grant{}, qt.Commentf("the room is 3"))
	store.Record("c", 12, 5, Load{}, start)
	c.Check(reserve(store, "d", 13, 4, start).Granted, qt.IsTrue)
	store.Refused(5, start.Add(time.Millisecond))
	store.Record("d", 14, 5, Load{}, start.Add(time.Millisecond))
	pause := perSecond(repeatedShare * 4)
	c.Check(reserve(store, "d", 15, 4, start.Add(time.Millisecond)), qt.Equals, Grant{RetryAfter: pause}, qt.Commentf("a repeated refusal"))
	raised := start.Add(minRaiseInterval + time.Millisecond)
	for i := range 2 {
		store.Record(string(rune('a'+i)), uint64(20+i), 5, Load{Requests: 1}, raised)
	}
	store.Record("c", 22, 5, Load{}, raised)
	c.Check(reserve(store, "d", 23, 4, raised.Add(-time.Millisecond)).Granted, qt.IsFalse, qt.Commentf("the room is 2"))
	c.Check(reserve(store, "d", 24, 4, raised).Granted, qt.IsTrue, qt.Commentf("the room is 3 again"))
}

// newBackedClient returns the client of a daemon that has one request in progress at an engine with a
// keeper and a backup.
func newBackedClient(keeper, backup *directClient) *Client {
	return New(Options{
		Self: "a", Keeper: func(string) string { return "k" }, Backups: func(string) []string { return []string{"b"} },
		Reserves: func(string) bool { return true }, ReservesAny: func() bool { return true }, Settled: func(string) bool { return true },
		Client: func(daemon string) bronzeturnv1connect.OccupancyServiceClient {
			if daemon == "k" {
				return keeper
			}
			return backup
		},
		InFlight:     func(string) (int64, int64) { return 1, 0 },
		EachInFlight: func(func(string, int64, int64)) {},
		Store:        NewStore(), Log: zerolog.Nop(), Registerer: prometheus.NewRegistry(),
	})
}

// keeperFaults are reasons for which a keeper does not decide.
var keeperFaults = map[string]func(*directClient){
	"gone":    func(d *directClient) { d.err = errors.New("refused") },
	"started": func(d *directClient) { d.unsettled = true },
}

// TestBackupGrantsSlotsWhileTheKeeperDoesNot guards against engines that are idle while their keeper
// is gone or has just started.
func TestBackupGrantsSlotsWhileTheKeeperDoesNot(t *testing.T) {
	for name, fault := range keeperFaults {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			keeper, backup := newDirectClient(), newDirectClient()
			fault(keeper)
			client := newBackedClient(keeper, backup)
			c.Check(client.Reserve(context.Background(), "e", 1, 4).Granted, qt.IsTrue)
			c.Check(client.Reserve(context.Background(), "e", 0, 4), qt.Equals, Grant{}, qt.Commentf("the backup has decided"))
			c.Check(keeper.calls.Load(), qt.Equals, int64(1), qt.Commentf("not asked again at once"))
			backup.unsettled = true
			c.Check(client.Reserve(context.Background(), "e", 1, 4), qt.Equals, Grant{RetryAfter: undecidedRetry})
		})
	}
}

// TestPausedProcessGrantsNothing guards against a keeper that was frozen, has missed reports and
// counts too few requests in progress.
func TestPausedProcessGrantsNothing(t *testing.T) {
	c := qt.New(t)
	var w wakefulness
	w.tick(refreshInterval, start)
	c.Check(w.running(start.Add(refreshInterval+lateTick)), qt.IsTrue)
	frozen := start.Add(refreshInterval + lateTick + time.Millisecond)
	c.Check(w.running(frozen), qt.IsFalse, qt.Commentf("before the first tick after the pause"))
	w.tick(refreshInterval, frozen)
	c.Check(w.running(frozen.Add(resumeTime-time.Millisecond)), qt.IsFalse)
	c.Check(w.running(frozen.Add(resumeTime)), qt.IsTrue)
}
