package admission

import "time"

const (
	// maxWaiting bounds the waiting requests of one group.
	maxWaiting = 1024
	// waitFraction is the part of the time to the deadline that a request may
	// wait, so that a refusal leaves the caller time to react.
	waitFraction = 0.5
	// minRateShare is the part of the service rate that a class is assumed to get
	// at least, however busy the higher classes are.
	minRateShare = 0.05
	// minRetryAfter and maxRetryAfter bound the Retry-After of a refusal.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = time.Minute
	// concurrencyRetryAfter is the Retry-After when a running request has to end
	// first.
	concurrencyRetryAfter = 500 * time.Millisecond
	// noEngineRetryAfter is the Retry-After when a group has no slots.
	noEngineRetryAfter = 5 * time.Second
)

// expectedWait estimates how long a new request would wait: the tokens that start
// before it, divided by the rate at which the group serves its class.
func (q *Queue) expectedWait(now time.Time, organisation string, class int, tokens float64) time.Duration {
	if q.slots == 0 {
		return noEngineRetryAfter
	}
	rate := q.slotRate * float64(q.slots)
	ahead := 0.0
	above := 0.0
	for c := classUrgent; c < class; c++ {
		ahead += q.classes[c].tokens
		above += q.classes[c].started.perSecond(now)
	}
	ahead += q.classes[class].ahead(organisation, tokens)
	// With every slot taken, one slot has to become free first.
	ahead += tokens / float64(q.slots)
	left := max(minRateShare, 1-above/rate)
	return seconds(ahead / (rate * left))
}

// ahead returns the waiting tokens of the class that fair queueing starts
// before a new request of the organisation.
func (c *classQueue) ahead(organisation string, tokens float64) float64 {
	own := 0.0
	tag := c.virtual
	if f := c.flows[organisation]; f != nil {
		own = f.tokens
		tag = max(tag, f.tag)
	}
	// The virtual time at which the request starts; requests of other flows with
	// earlier start tags are served before it.
	reach := tag + own
	sum := own
	for _, f := range c.backlog {
		if f.organisationIs(c, organisation) {
			continue
		}
		sum += min(f.tokens, max(0, reach-f.tag)+f.items[0].tokens)
	}
	return sum
}

// organisationIs reports whether f is the flow of the organisation.
func (f *flow) organisationIs(c *classQueue, organisation string) bool {
	return c.flows[organisation] == f
}

// latestStart returns the latest time at which a request may start: the time left
// must suffice for its service, and the wait must not exceed waitFraction of the
// time to the deadline.
func latestStart(now, deadline time.Time, service time.Duration) time.Time {
	left := deadline.Sub(now)
	hold := min(time.Duration(float64(left)*waitFraction), left-service)
	return now.Add(max(hold, 0))
}

// serviceTime estimates how long a request occupies its slot.
func (q *Queue) serviceTime(tokens float64) time.Duration {
	if q.slotRate <= 0 {
		return 0
	}
	return seconds(tokens / q.slotRate)
}

// Decision is the outcome of Queue.Offer.
type Decision int

// The values of Decision.
const (
	// StartNow means that the request has been given a slot.
	StartNow Decision = iota
	// WaitTurn means that the request has been queued and waits until Next returns
	// it or Remove removes it.
	WaitTurn
	// Refuse means that the request can't start in time.
	Refuse
)

// Offer decides on a new request. On Refuse, the duration is the time after which
// to retry. On WaitTurn, the request has been queued, and evicted, if not nil, is
// the request that was removed to make space for it.
func (q *Queue) Offer(now, deadline time.Time, it *Item) (d Decision, after time.Duration, evicted *Item) {
	if q.canStartNow(it.class) {
		q.startNow(now, it)
		return StartNow, 0, nil
	}
	if q.slots == 0 {
		return Refuse, noEngineRetryAfter, nil
	}
	wait := q.expectedWait(now, it.organisation, it.class, it.tokens)
	it.latestStart = latestStart(now, deadline, q.serviceTime(it.tokens))
	if now.Add(wait).After(it.latestStart) {
		return Refuse, clampRetry(wait), nil
	}
	if q.waiting >= maxWaiting {
		evicted = q.victim(it)
		if evicted == nil {
			return Refuse, clampRetry(wait), nil
		}
		q.Remove(evicted)
	}
	q.enqueue(it)
	return WaitTurn, 0, evicted
}

// victim returns the waiting request to evict for a new one when the queue is
// full: the newest request of the organisation with the most waiting requests, in
// the lowest class that has any. It returns nil when the new request itself would
// be the one to evict.
func (q *Queue) victim(it *Item) *Item {
	for class := classBulk; class >= it.class; class-- {
		c := &q.classes[class]
		longest := c.longest()
		if longest == nil {
			continue
		}
		own := c.flows[it.organisation]
		if class == it.class && own != nil && len(own.items) >= len(longest.items)-1 {
			return nil
		}
		if class == it.class && own == nil && len(longest.items) <= 1 {
			return nil
		}
		return longest.items[len(longest.items)-1]
	}
	return nil
}

// longest returns the flow with the most waiting requests.
func (c *classQueue) longest() *flow {
	var longest *flow
	for _, f := range c.backlog {
		if longest == nil || len(f.items) > len(longest.items) {
			longest = f
		}
	}
	return longest
}

// clampRetry bounds a Retry-After to minRetryAfter and maxRetryAfter.
func clampRetry(d time.Duration) time.Duration {
	return min(max(d, minRetryAfter), maxRetryAfter)
}
