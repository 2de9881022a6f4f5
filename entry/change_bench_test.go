package entry

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/bronzeturn/bronzeturn/balance"
	"github.com/bronzeturn/bronzeturn/canary"
	"github.com/bronzeturn/bronzeturn/follow"
	"github.com/bronzeturn/bronzeturn/inventory"
)

// sameEngines decodes every entry to an engine with the name of the entry.
type sameEngines struct{ Documents }

func (sameEngines) Engine(item follow.Item) (inventory.Registration, error) {
	return inventory.Registration{Engine: inventory.Engine{
		ID: item.Name, Started: time.UnixMilli(1_780_000_000_000), Service: "s", Address: "192.0.2.1:1", DataCentre: "a", Version: "v1", Slots: 4,
	}}, nil
}

// BenchmarkOneEngineChanges measures the cost of removing one engine and adding it again, from the
// change of the list of entries to the tables in force.
func BenchmarkOneEngineChanges(b *testing.B) {
	for _, engines := range []int{216, 3000, 10_000, 20_000} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			d := newChangingDaemon(b)
			all := engineEntries(engines)
			follower := follow.New(follow.Options{
				Kind: "engines", Apply: d.registrationsChanged, Announce: func(uint64) {}, Log: zerolog.Nop(),
			})
			follower.ApplySnapshot(follow.NewSnapshot(1, slices.Values(all)))
			revision := uint64(1)
			for b.Loop() {
				revision += 2
				restored := all[0]
				restored.Revision = revision
				follower.ApplyChanges(&follow.Changes{Revision: revision - 1, Removed: []string{all[0].Name}})
				follower.ApplyChanges(&follow.Changes{Revision: revision, Changed: []follow.Item{restored}})
			}
		})
	}
}

// engineEntries returns the entries of n engines.
func engineEntries(n int) []follow.Item {
	var entries []follow.Item
	for i := range n {
		name := fmt.Sprintf("i-%08x", i*7919)
		entries = append(entries, follow.Item{Name: name, Revision: 1, Spec: engineSpec(name, i)})
	}
	return entries
}

// engineSpec returns the entry of the i-th engine. Entries differ in id, address, zone,
// sequence and start time; identical entries would compress to almost nothing.
func engineSpec(id string, i int) []byte {
	return fmt.Appendf(nil, `{"id":%q,"service":"diag-llm","address":"10.%d.%d.%d:%d","zone":"hall-%d","version":"v1",`+
		`"slots":16,"state":"ready","coldFor":0,"phase":"both","models":[{"name":"diag-small","version":1,"adapters":[]}],`+
		`"sequence":%d,"born":%d}`, id, i%5, i/250, i%250, 8200+i%40, i%5, 1+i%3, 1781440087000+37*i)
}

// newChangingDaemon returns a daemon without network that applies changes of the engines.
func newChangingDaemon(b testing.TB) *Daemon {
	d := &Daemon{log: zerolog.Nop(), registry: prometheus.NewRegistry()}
	d.Documents = sameEngines{}
	d.slowStarts = newSlowStarts(d)
	d.quarantine = newQuarantine(d)
	d.Settings.Introductions = canary.DefaultOptions()
	d.introductions = newIntroductions(d)
	state, err := balance.NewState(balance.DefaultOptions())
	if err != nil {
		b.Fatal(err)
	}
	d.balancer = state
	d.engines = inventory.New(time.Second, d.enginesChanged)
	return d
}
