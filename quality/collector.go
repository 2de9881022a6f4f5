package quality

import (
	"slices"
	"sync"
	"time"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// collector exchanges the evidence of one version. It does no I/O.
//
// Ratings are first unsent, then part of one report. An aggregator merges the
// report and promises to include it in one of its publications. A report is
// dropped once the newest publication builds on a promised one, and is sent to
// the next aggregator when the newest publication shows that the promise was not
// kept. No rating is counted twice. Ratings are lost only if an aggregator never
// answered their report, or if two daemons acted as aggregator at the same time
// and the publication of one of them was superseded.
type collector struct {
	mu           sync.Mutex
	version      string
	store        *Store
	aggregatorID uint64 // identifies this daemon as an aggregator, see discardUnpublished

	sequence   uint64
	reports    []*report
	lastMerged map[string]mergedReport

	revision    uint64 // of the newest table entry
	publishers  []*bronzeturnv1.Publisher
	publication uint64 // number of own publications
	unpublished bool   // merged evidence is not published yet
}

// report is evidence that is no longer unsent.
type report struct {
	sequence uint64
	counts   []Counts
	// owner is the daemon that it is addressed to, or "" if none.
	owner string
	// mayBeMerged is set when an attempt got no answer: the owner may have merged
	// the report.
	mayBeMerged bool
	// answered is set when an aggregator has merged the report and its publication
	// is awaited.
	answered bool
	promises []*bronzeturnv1.Publisher
}

// mergedReport identifies the newest merged report of one origin.
type mergedReport struct {
	incarnation uint64
	sequence    uint64
	promise     *bronzeturnv1.Publisher
}

func newCollector(version string, store *Store, self uint64) *collector {
	return &collector{version: version, store: store, aggregatorID: self, lastMerged: make(map[string]mergedReport)}
}

// next returns the report to send to the owner, or nil if there is none.
func (c *collector) next(owner string) *report {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropMaybeMerged(owner)
	r := c.nextUnanswered()
	if r == nil {
		r = c.newReport()
	}
	if r != nil && r.owner != owner {
		c.sequence++
		r.owner, r.sequence = owner, c.sequence
	}
	return r
}

// dropMaybeMerged drops unanswered reports that were sent to another owner, since
// that owner may have merged them.
func (c *collector) dropMaybeMerged(owner string) {
	c.dropReports(func(r *report) bool { return !r.answered && r.mayBeMerged && r.owner != owner })
}

// newReport moves the unsent evidence into a report, or returns nil if there is
// none.
func (c *collector) newReport() *report {
	counts := c.store.takeUnsent(c.version)
	if len(counts) == 0 {
		return nil
	}
	r := &report{counts: counts}
	c.reports = append(c.reports, r)
	return r
}

// onAnswer records which publication will include the report.
func (c *collector) onAnswer(r *report, promise *bronzeturnv1.Publisher) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.answered, r.mayBeMerged = true, false
	r.promises = append(r.promises, promise)
	c.dropPublished()
}

// onNoAnswer records that an attempt to send the report got no answer.
func (c *collector) onNoAnswer(r *report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.mayBeMerged = true
}

// onNotMerged records that an attempt certainly did not merge the report.
func (c *collector) onNotMerged(r *report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !r.mayBeMerged { // unless an earlier attempt may have merged it
		r.owner = ""
	}
}

// collectOwn merges this daemon's own reports as the aggregator and returns the
// counts that it newly merged.
func (c *collector) collectOwn(name string) []Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropMaybeMerged(name)
	c.newReport()
	var counts []Counts
	for _, r := range c.reports {
		if r.promisedBy(c.aggregatorID) {
			continue
		}
		r.answered = true
		r.promises = append(r.promises, c.promise())
		c.unpublished = true
		counts = append(counts, r.counts...)
	}
	return counts
}

// merge adds the report of another daemon unless it was merged before. It returns
// the publication that will include it, and whether the report was new.
func (c *collector) merge(m *bronzeturnv1.ReportRequest, counts []Counts) (promise *bronzeturnv1.Publisher, isNew bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	last, known := c.lastMerged[m.GetOrigin()]
	if known && last.incarnation == m.GetIncarnation() && m.GetSequence() <= last.sequence {
		return last.promise, false
	}
	for _, p := range m.GetPromises() {
		if p.GetAggregator() == c.aggregatorID || buildsOn(c.publishers, p) {
			return p, false
		}
	}
	c.store.addMerged(counts)
	c.unpublished = true
	promise = c.promise()
	c.lastMerged[m.GetOrigin()] = mergedReport{m.GetIncarnation(), m.GetSequence(), promise}
	return promise, true
}

func (c *collector) promise() *bronzeturnv1.Publisher {
	return &bronzeturnv1.Publisher{Aggregator: c.aggregatorID, Publication: c.publication + 1}
}

// publish returns the next table entry, or nil if there is nothing to publish. It
// publishes unchanged evidence when the newest publication is another
// aggregator's: the first publication of a new aggregator shows the other daemons
// which reports to its predecessor were lost.
func (c *collector) publish(now time.Time) (revision uint64, value []byte, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.unpublished && lastPublishedBy(c.publishers, c.aggregatorID) {
		return 0, nil, nil
	}
	c.mergeOwnReports()
	publishers := prependPublisher(c.publishers, c.promise())
	value, err = encode(c.store.mergedEvidence(c.version, now), publishers)
	if err != nil {
		return 0, nil, err
	}
	c.publication++
	c.publishers = publishers
	c.revision = max(c.revision+1, uint64(max(now.UnixMilli(), 0)))
	c.unpublished = false
	return c.revision, value, nil
}

// mergeOwnReports moves this daemon's own collected reports to the merged evidence.
func (c *collector) mergeOwnReports() {
	c.dropReports(func(r *report) bool {
		if !r.promisedBy(c.aggregatorID) {
			return false
		}
		c.store.addMerged(r.counts)
		return true
	})
}

// receive adopts a table entry published by another daemon and reports whether it
// was newer than the last known one.
func (c *collector) receive(revision uint64, value []byte, now time.Time) (bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if revision <= c.revision {
		return false, nil
	}
	all, publishers, err := decode(c.version, value)
	if err != nil {
		return false, err
	}
	if len(publishers) == 0 {
		return false, ErrPublication
	}
	c.revision = revision
	c.publishers = publishers
	c.store.adopt(c.version, all, now)
	c.discardUnpublished()
	c.reconcileReports()
	return true, nil
}

// discardUnpublished is called after another daemon's publication was adopted. If
// it does not include everything that this daemon merged as the aggregator, the
// reports that were lost are no longer regarded as merged, and the daemon takes a
// new aggregator ID, so that no later publication appears to include them.
func (c *collector) discardUnpublished() {
	published := &bronzeturnv1.Publisher{Aggregator: c.aggregatorID, Publication: c.publication}
	if !c.unpublished && (c.publication == 0 || buildsOn(c.publishers, published)) {
		return
	}
	for origin, m := range c.lastMerged {
		if !buildsOn(c.publishers, m.promise) {
			delete(c.lastMerged, origin)
		}
	}
	c.aggregatorID++
	c.publication = 0
	c.unpublished = false
}

// reconcileReports drops the reports that the newest publication includes. Answered
// reports become unanswered if neither the newest publisher nor this daemon has
// promised to include them.
func (c *collector) reconcileReports() {
	c.dropPublished()
	for _, r := range c.reports {
		if r.answered && !r.promisedBy(c.publishers[0].GetAggregator()) && !r.promisedBy(c.aggregatorID) {
			r.answered, r.owner = false, ""
		}
	}
}

func (c *collector) dropPublished() {
	c.dropReports(func(r *report) bool {
		return slices.ContainsFunc(r.promises, func(p *bronzeturnv1.Publisher) bool { return buildsOn(c.publishers, p) })
	})
}

func (r *report) promisedBy(aggregator uint64) bool {
	return slices.ContainsFunc(r.promises, func(p *bronzeturnv1.Publisher) bool { return p.GetAggregator() == aggregator })
}

// nextUnanswered returns a report to send. One that may have been merged goes
// first, since an aggregator recognises repeats by the sequence number of the
// origin's newest report only.
func (c *collector) nextUnanswered() *report {
	var first *report
	for _, r := range c.reports {
		if r.answered {
			continue
		}
		if r.mayBeMerged {
			return r
		}
		if first == nil {
			first = r
		}
	}
	return first
}

// dropReports removes the reports for which remove returns true, and sets the sent
// evidence in the store to that of the remaining reports.
func (c *collector) dropReports(remove func(*report) bool) {
	before := len(c.reports)
	c.reports = slices.DeleteFunc(c.reports, remove)
	if len(c.reports) == before {
		return
	}
	var counts []Counts
	for _, r := range c.reports {
		counts = append(counts, r.counts...)
	}
	c.store.setSent(c.version, counts)
}
