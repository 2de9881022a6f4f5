package gossip

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "200")
	os.Exit(m.Run())
}

var testClasses = []Class{
	{Prefix: "kept/", MaxEntries: 1000, MaxValueBytes: 16, RemovalTTL: time.Minute},
	{Prefix: "aged/", MaxEntries: 3, MaxValueBytes: 16, TTL: time.Hour, RemovalTTL: time.Minute},
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

type update struct {
	key     string
	version uint64
	value   []byte
}

func drawUpdates(t *rapid.T) []update {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) update {
		return update{
			key:     fmt.Sprint("kept/", rapid.IntRange(0, 5).Draw(t, "key")),
			version: rapid.Uint64Range(1, 4).Draw(t, "version"),
			value:   rapid.SliceOfN(rapid.Byte(), 0, 2).Draw(t, "value"),
		}
	}), 0, 30).Draw(t, "updates")
}

func TestTablesConvergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		updates := drawUpdates(t)
		one, other := newTable(testClasses), newTable(testClasses)
		for _, u := range updates {
			before := one.get(u.key)
			_, _ = one.put(u.key, u.version, u.value, 0, epoch)
			if after := one.get(u.key); before != nil && after.version < before.version {
				t.Fatalf("%s went back from %d to %d", u.key, before.version, after.version)
			}
		}
		for _, u := range rapid.Permutation(updates).Draw(t, "order") {
			_, _ = other.put(u.key, u.version, u.value, 0, epoch)
		}
		if one.digest() != other.digest() {
			t.Fatalf("tables differ")
		}
	})
}

func TestAntiEntropyInBothDirectionsMakesTablesEqual(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		one, other := newTable(testClasses), newTable(testClasses)
		for _, u := range drawUpdates(t) {
			_, _ = one.put(u.key, u.version, u.value, 0, epoch)
		}
		for _, u := range drawUpdates(t) {
			_, _ = other.put(u.key, u.version, u.value, 0, epoch)
		}
		exchange(one, other)
		exchange(other, one)
		if one.digest() != other.digest() {
			t.Fatalf("tables differ after anti-entropy")
		}
	})
}

// exchange makes asker fetch the entries that it lacks from holder.
func exchange(asker, holder *table) {
	keys, summary := holder.compareDigest(&bronzeturnv1.TableDigest{Buckets: asker.digests()})
	for _, frame := range splitSummary(summary) {
		keys = append(keys, asker.compareSummary(frame.GetSummary()).GetKeys()...)
	}
	for _, key := range keys {
		m := holder.message(holder.get(key), epoch)
		_, _ = asker.put(m.GetKey(), m.GetVersion(), m.GetValue(), 0, epoch)
	}
}

func TestEntriesOutsideTheBoundsAreRefused(t *testing.T) {
	long := make([]byte, MaxKeyBytes)
	tests := []struct {
		name    string
		key     string
		version uint64
		value   []byte
		age     time.Duration
		reason  Reason
	}{
		{"no class", "other/a", 1, nil, 0, ReasonUnknownClass},
		{"only the prefix", "kept/", 1, nil, 0, ReasonKeyLength},
		{"long key", "kept/" + string(long), 1, nil, 0, ReasonKeyLength},
		{"large value", "kept/a", 1, make([]byte, 17), 0, ReasonValueSize},
		{"version zero", "kept/a", 0, nil, 0, ReasonVersion},
		{"version that blocks the key", "kept/a", MaxVersion + 1, nil, 0, ReasonVersion},
		{"old entry", "aged/a", 1, []byte("x"), time.Hour, ReasonExpired},
		{"old removal", "kept/a", 1, nil, time.Minute, ReasonExpired},
		{"class full", "aged/4", 1, []byte("x"), 0, ReasonFull},
	}
	table := newTable(testClasses)
	for i := range 3 {
		_, err := table.put(fmt.Sprint("aged/", i), 1, []byte("x"), 0, epoch)
		qt.Assert(t, err, qt.IsNil)
	}
	before := table.digest()
	for _, test := range tests {
		_, err := table.put(test.key, test.version, test.value, test.age, epoch)
		var refused *RefusedError
		qt.Assert(t, errors.As(err, &refused), qt.IsTrue, qt.Commentf("%s: %v", test.name, err))
		qt.Check(t, refused.Reason, qt.Equals, test.reason, qt.Commentf("%s", test.name))
	}
	qt.Check(t, table.digest(), qt.Equals, before)
}

func TestEntriesExpireByTheAgeSincePublication(t *testing.T) {
	table := newTable(testClasses)
	empty := table.digest()
	_, _ = table.put("aged/a", 1, []byte("x"), 50*time.Minute, epoch)
	qt.Check(t, table.message(table.get("aged/a"), epoch.Add(time.Minute)).GetAgeMs(), qt.Equals, uint64(51*60*1000))
	qt.Check(t, table.expire(epoch.Add(9*time.Minute)), qt.HasLen, 0)
	qt.Check(t, table.expire(epoch.Add(10*time.Minute)), qt.HasLen, 1)
	qt.Check(t, table.digest(), qt.Equals, empty)
	for i := range 3 {
		_, err := table.put(fmt.Sprint("aged/", i), 1, []byte("x"), 0, epoch)
		qt.Check(t, err, qt.IsNil)
	}
}
