package quality

import (
	"slices"
	"sync"
	"time"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// collector exchanges the evidence of one version. It does no I/O.
//
// Ratings are fresh, then in one report, which an aggregator merges and
// promises to hold in one of its publications. A report is dropped once the
// newest publication builds on a promised one, and goes to the successor when
// the newest publication shows that the promise was lost. No rating is counted
// twice. Missing are only reports to an aggregator that never answered, and what
// one of two daemons published that both believed to be the aggregator.
type collector struct {
	mu      sync.Mutex
	version string
	store   *Store
	self    uint64 // this daemon as an aggregator, see abandon

	sequence uint64
	reports  []*report
	origins  map[string]merge

	revision    uint64 // of the newest table entry
	line        []*bronzeturnv1.Publisher
	publication uint64 // number of own publications
	changed     bool   // merged evidence is not published yet
}

// report is evidence that left the fresh state.
type report struct {
	sequence uint64
	counts   []Counts
	// owner is the daemon that it is for, or "" when it has to be sent anew.
	owner string
	// uncertain is set once an attempt got no answer: it may have been merged.
	uncertain bool
	// answered is set while a publication is awaited.
	answered bool
	promises []*bronzeturnv1.Publisher
}

// merge remembers the newest report of one origin.
type merge struct {
	incarnation uint64
	sequence    uint64
	promise     *bronzeturnv1.Publisher
}

func newCollector(version string, store *Store, self uint64) *collector {
	return &collector{version: version, store: store, self: self, origins: make(map[string]merge)}
}

// next returns the report to send to the owner, or nil when there is none.
func (c *collector) next(owner string) *report {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.giveUp(owner)
	r := c.unanswered()
	if r == nil {
		r = c.take()
	}
	if r != nil && r.owner != owner {
		c.sequence++
		r.owner, r.sequence = owner, c.sequence
	}
	return r
}

// giveUp drops reports without an answer that were for another owner, since
// that one may have merged them.
func (c *collector) giveUp(owner string) {
	c.drop(func(r *report) bool { return !r.answered && r.uncertain && r.owner != owner })
}

// take turns the fresh evidence into a report.
func (c *collector) take() *report {
	counts := c.store.takeFresh(c.version)
	if len(counts) == 0 {
		return nil
	}
	r := &report{counts: counts}
	c.reports = append(c.reports, r)
	return r
}

// answered notes which publication will hold the report.
func (c *collector) answered(r *report, promise *bronzeturnv1.Publisher) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.answered, r.uncertain = true, false
	r.promises = append(r.promises, promise)
	c.dropPublished()
}

// lost notes that an attempt to send the report ended without an answer.
func (c *collector) lost(r *report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.uncertain = true
}

// refused notes that an attempt certainly did not merge the report.
func (c *collector) refused(r *report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !r.uncertain { // by an earlier attempt
		r.owner = ""
	}
}

// collect takes this daemon's own reports in as the aggregator, and returns
// their counts to be judged.
func (c *collector) collect(name string) []Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.giveUp(name)
	c.take()
	var counts []Counts
	for _, r := range c.reports {
		if r.promisedBy(c.self) {
			continue
		}
		r.answered = true
		r.promises = append(r.promises, c.promise())
		c.changed = true
		counts = append(counts, r.counts...)
	}
	return counts
}

// merge counts the report of another daemon once. It returns the publication
// that will hold it, and whether the report was new.
func (c *collector) merge(m *bronzeturnv1.ReportRequest, counts []Counts) (promise *bronzeturnv1.Publisher, isNew bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	last, known := c.origins[m.GetOrigin()]
	if known && last.incarnation == m.GetIncarnation() && m.GetSequence() <= last.sequence {
		return last.promise, false
	}
	for _, p := range m.GetPromises() {
		if p.GetAggregator() == c.self || includes(c.line, p) {
			return p, false
		}
	}
	c.store.addMerged(counts)
	c.changed = true
	promise = c.promise()
	c.origins[m.GetOrigin()] = merge{m.GetIncarnation(), m.GetSequence(), promise}
	return promise, true
}

func (c *collector) promise() *bronzeturnv1.Publisher {
	return &bronzeturnv1.Publisher{Aggregator: c.self, Publication: c.publication + 1}
}

// publish returns the next table entry when there is something to publish, or
// when this daemon has not published last: its first publication tells the
// others which reports to the former aggregator were lost.
func (c *collector) publish(now time.Time) (revision uint64, value []byte, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.changed && headedBy(c.line, c.self) {
		return 0, nil, nil
	}
	c.keepOwn()
	line := succeed(c.line, c.promise())
	value, err = encode(c.store.merged(c.version, now), line)
	if err != nil {
		return 0, nil, err
	}
	c.publication++
	c.line = line
	c.revision = max(c.revision+1, uint64(max(now.UnixMilli(), 0)))
	c.changed = false
	return c.revision, value, nil
}

// keepOwn moves this daemon's own reports to the merged evidence.
func (c *collector) keepOwn() {
	c.drop(func(r *report) bool {
		if !r.promisedBy(c.self) {
			return false
		}
		c.store.addMerged(r.counts)
		return true
	})
}

// receive takes over a table entry published by another daemon, and reports
// whether it was newer than what is known.
func (c *collector) receive(revision uint64, value []byte, now time.Time) (bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if revision <= c.revision {
		return false, nil
	}
	all, line, err := decode(c.version, value)
	if err != nil {
		return false, err
	}
	if len(line) == 0 {
		return false, ErrPublication
	}
	c.revision = revision
	c.line = line
	c.store.adopt(c.version, all, now)
	c.abandon()
	c.settle()
	return true, nil
}

// abandon gives up what this daemon merged when the newest publication does not
// hold it. It goes on as another aggregator, so that no later publication seems
// to hold it either.
func (c *collector) abandon() {
	published := &bronzeturnv1.Publisher{Aggregator: c.self, Publication: c.publication}
	if !c.changed && (c.publication == 0 || includes(c.line, published)) {
		return
	}
	for origin, m := range c.origins {
		if !includes(c.line, m.promise) {
			delete(c.origins, origin)
		}
	}
	c.self++
	c.publication = 0
	c.changed = false
}

// settle drops the reports that the newest publication holds, and makes those
// unanswered again whose promises it shows to be lost.
func (c *collector) settle() {
	c.dropPublished()
	for _, r := range c.reports {
		if r.answered && !r.promisedBy(c.line[0].GetAggregator()) && !r.promisedBy(c.self) {
			r.answered, r.owner = false, ""
		}
	}
}

func (c *collector) dropPublished() {
	c.drop(func(r *report) bool {
		return slices.ContainsFunc(r.promises, func(p *bronzeturnv1.Publisher) bool { return includes(c.line, p) })
	})
}

func (r *report) promisedBy(aggregator uint64) bool {
	return slices.ContainsFunc(r.promises, func(p *bronzeturnv1.Publisher) bool { return p.GetAggregator() == aggregator })
}

// unanswered returns a report to send. One that may have been merged goes
// first, since sequences tell a repeat only from the newest report.
func (c *collector) unanswered() *report {
	var first *report
	for _, r := range c.reports {
		if r.answered {
			continue
		}
		if r.uncertain {
			return r
		}
		if first == nil {
			first = r
		}
	}
	return first
}

// drop removes reports and makes the sent evidence of the store that of the
// reports which are left.
func (c *collector) drop(gone func(*report) bool) {
	before := len(c.reports)
	c.reports = slices.DeleteFunc(c.reports, gone)
	if len(c.reports) == before {
		return
	}
	var counts []Counts
	for _, r := range c.reports {
		counts = append(counts, r.counts...)
	}
	c.store.setSent(c.version, counts)
}
