package quality

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

var modelStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fleet is a model of daemons that exchange the ratings of one version. The
// daemons' views of the owner and of the table may be outdated.
type fleet struct {
	daemons  []*daemon
	owner    int
	revision uint64
	value    []byte
	now      time.Time
	rated    float64
	// dropped counts ratings whose report got no answer before the owner changed.
	dropped float64
	// conflict is set when a daemon publishes without knowing the newest entry.
	conflict bool
}

type daemon struct {
	name      string
	collector *collector
	owner     int // index of the owner in this daemon's view
}

func newFleet(n int) *fleet {
	f := &fleet{now: modelStart}
	for i := range n {
		f.daemons = append(f.daemons, newDaemon(i))
	}
	return f
}

func newDaemon(i int) *daemon {
	store := NewStore(Options{MaxWeight: 1e6, MaxTotal: 1e6})
	store.Cell("v", "quick").SetPrior(0.5, true)
	return &daemon{name: fmt.Sprintf("d%d", i), collector: newCollector("v", store, uint64(1000*(i+1)))}
}

func (f *fleet) rate(d *daemon) {
	event := Rating{Organisation: "o", Version: "v", Kind: "quick", Score: 1, At: f.now}
	if err := d.collector.store.AddRating(event); err != nil {
		panic(err)
	}
	f.rated++
}

// Outcomes of an attempt to deliver a report.
const (
	delivered = iota
	answerLost
	requestLost
	connectFailed
)

func (f *fleet) report(d *daemon, outcome int) {
	owner := f.daemons[d.owner]
	for _, r := range d.collector.reports {
		if !r.answered && r.mayBeMerged && r.owner != owner.name {
			f.dropped += r.counts[0].Weight
		}
	}
	if owner == d {
		d.collector.collectOwn(d.name)
		return
	}
	r := d.collector.next(owner.name)
	if r == nil {
		return
	}
	if outcome == connectFailed || f.daemons[owner.owner] != owner {
		d.collector.onNotMerged(r)
		return
	}
	if outcome == requestLost {
		d.collector.onNoAnswer(r)
		return
	}
	request := &bronzeturnv1.ReportRequest{Origin: d.name, Incarnation: 1, Sequence: r.sequence, Promises: r.promises}
	promise, _ := owner.collector.merge(request, r.counts)
	if outcome == answerLost {
		d.collector.onNoAnswer(r)
		return
	}
	d.collector.onAnswer(r, promise)
}

func (f *fleet) publish(d *daemon) {
	if f.daemons[d.owner] != d {
		return
	}
	f.conflict = f.conflict || d.collector.revision < f.revision
	revision, value, err := d.collector.publish(f.now)
	if err != nil {
		panic(err)
	}
	if value != nil && revision > f.revision {
		f.revision, f.value = revision, value
	}
}

func (f *fleet) receive(d *daemon) {
	if _, err := d.collector.receive(f.revision, f.value, f.now); err != nil {
		panic(err)
	}
}

func (f *fleet) published() float64 {
	all, _, err := decode("v", f.value)
	if err != nil {
		panic(err)
	}
	return all[key{"v", "quick", false}].weight
}

func (f *fleet) index(d *daemon) int { return slices.Index(f.daemons, d) }

// settle gives all daemons the same owner and lets them exchange without faults.
func (f *fleet) settle() {
	for range 6 {
		for _, d := range f.daemons {
			d.owner = f.owner
			f.receive(d)
		}
		for _, d := range f.daemons {
			f.report(d, delivered)
			for d.owner != f.index(d) && d.collector.nextUnanswered() != nil {
				f.report(d, delivered)
			}
		}
		f.now = f.now.Add(time.Millisecond)
		f.publish(f.daemons[f.owner])
	}
	for _, d := range f.daemons {
		f.receive(d)
	}
}

// Property: under any losses, delays and changes of the owner, no rating is
// counted twice. Unless daemons publish concurrently, only ratings in unanswered
// reports are lost.
func TestEveryRatingIsCountedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(4)
		pick := rapid.IntRange(0, len(f.daemons)-1)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			f.now = f.now.Add(time.Millisecond)
			d := f.daemons[pick.Draw(t, "daemon")]
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1:
				f.rate(d)
			case 2, 3:
				f.report(d, rapid.IntRange(delivered, connectFailed).Draw(t, "outcome"))
			case 4:
				f.publish(d)
			case 5:
				f.receive(d)
			case 6:
				if rapid.Bool().Draw(t, "elect") {
					f.owner = pick.Draw(t, "owner")
				}
				d.owner = f.owner
			}
		}
		f.settle()
		got := f.published()
		if got > f.rated+0.01 || !f.conflict && got < f.rated-f.dropped-0.01 {
			t.Fatalf("published %v of %v ratings, %v dropped", got, f.rated, f.dropped)
		}
		for _, d := range f.daemons {
			local := d.collector.store.Estimate("v", "quick", f.now).Weight
			if d.collector.nextUnanswered() == nil && math.Abs(local-got) > 0.1 {
				t.Fatalf("%s has %v ratings, %v are published", d.name, local, got)
			}
		}
	})
}

func TestSuccessorStartsFromTheLastPublication(t *testing.T) {
	f := newFleet(3)
	for i := range 30 {
		f.rate(f.daemons[i%3])
	}
	f.settle()
	f.owner = 1
	f.daemons[0] = newDaemon(7) // the old owner is replaced by an empty daemon
	f.settle()
	if got := f.published(); math.Abs(got-30) > 0.01 {
		t.Fatalf("published %v ratings, want 30", got)
	}
}

func TestUnpublishedReportsGoToTheSuccessor(t *testing.T) {
	f := newFleet(3)
	for range 10 {
		f.rate(f.daemons[2])
	}
	f.report(f.daemons[2], delivered) // merged by daemon 0, never published
	f.owner = 1
	f.daemons[0] = newDaemon(7)
	f.settle()
	if got := f.published(); math.Abs(got-10) > 0.01 {
		t.Fatalf("published %v ratings, want 10", got)
	}
}

// Guards against counting a report twice: a daemon that wrongly takes a promise
// for lost resends its report to a successor whose evidence already includes the
// promised publication.
func TestResentReportIsNotMergedWhereItIsPublished(t *testing.T) {
	f := newFleet(3)
	first, successor, origin := f.daemons[0], f.daemons[1], f.daemons[2]
	f.rate(origin)
	f.report(origin, delivered)
	f.now = f.now.Add(time.Millisecond)
	f.publish(first)
	f.receive(successor)

	// A publication by a fourth daemon that only origin receives.
	stray, err := encode(nil, prependPublisher(nil, &bronzeturnv1.Publisher{Aggregator: 9, Publication: 1}))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := origin.collector.receive(1, stray, f.now); err != nil {
		t.Fatal(err)
	}
	f.owner, origin.owner, successor.owner = 1, 1, 1
	f.report(origin, delivered)
	f.settle()
	if got := f.published(); math.Abs(got-1) > 0.01 {
		t.Fatalf("published %v ratings, want 1", got)
	}
}

func TestRefusalAfterAnUnansweredAttemptKeepsTheReport(t *testing.T) {
	for _, outcome := range []int{requestLost, answerLost} {
		f := newFleet(2)
		f.rate(f.daemons[1])
		f.report(f.daemons[1], outcome)
		f.report(f.daemons[1], connectFailed)
		f.settle()
		if got := f.published(); math.Abs(got-1) > 0.01 {
			t.Fatalf("published %v ratings, want 1", got)
		}
	}
}

// Bounds the traffic that the exchange adds to the flooded table: 36 versions with
// 8 kinds, half of them with a cascade, published every 30 s.
func TestPublicationBytesAreBounded(t *testing.T) {
	all := make(map[key]moments)
	for i := range 8 {
		for _, accepted := range []bool{false, true}[:1+i%2] {
			all[key{"v", fmt.Sprintf("some-kind-%d", i), accepted}] = moments{sum: 900.5, weight: 1000.25}
		}
	}
	var publishers []*bronzeturnv1.Publisher
	for i := range uint64(maxPublishers + 1) {
		publishers = prependPublisher(publishers, &bronzeturnv1.Publisher{Aggregator: 1<<60 + i, Publication: 100})
	}
	value, err := encode(all, publishers)
	if err != nil {
		t.Fatal(err)
	}
	const versions = 36
	perSecond := float64(versions*len(value)) / DefaultPublishInterval.Seconds()
	t.Logf("%d bytes per publication, %.0f bytes a second for %d versions", len(value), perSecond, versions)
	if len(value) > 450 {
		t.Fatalf("a publication takes %d bytes", len(value))
	}
}
