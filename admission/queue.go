package admission

import (
	"math"
	"slices"
	"time"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// The priority classes of the queue, highest first.
const (
	classUrgent = iota
	classNormal
	classBulk
	classes
)

// classOf maps a priority to its class. An unknown priority is normal.
func classOf(p bronzeturnv1.Priority) int {
	switch p {
	case bronzeturnv1.Priority_PRIORITY_URGENT:
		return classUrgent
	case bronzeturnv1.Priority_PRIORITY_BULK:
		return classBulk
	}
	return classNormal
}

const (
	// bulkStartInterval reserves one in this many starts for bulk requests while
	// normal requests wait, so that bulk is not starved. Urgent requests always go
	// first.
	bulkStartInterval = 16
	// urgentReserve keeps one in this many slots free of bulk requests, so that
	// an urgent request finds a free slot.
	urgentReserve = 8
	// maxIdleFlows bounds the flows without waiting requests that a class keeps.
	maxIdleFlows = 512
)

// Item is a request in a Queue.
type Item struct {
	organisation string
	class        int
	tokens       float64
	latestStart  time.Time // the request is refused if it has not started by then
	ready        chan waitResult
}

// NewItem returns a request of an organisation with its expected tokens.
func NewItem(organisation string, priority bronzeturnv1.Priority, tokens float64) *Item {
	return &Item{organisation: organisation, class: classOf(priority), tokens: tokens}
}

// LatestStart returns the time at which a request that still waits has to be removed
// and refused.
func (it *Item) LatestStart() time.Time { return it.latestStart }

// flow holds the waiting requests of one organisation in one class, a flow of
// start-time fair queueing.
type flow struct {
	items  []*Item
	tag    float64 // virtual time at which the flow's next request starts
	tokens float64 // sum over items
}

// classQueue holds the flows of one class.
type classQueue struct {
	flows   map[string]*flow
	backlog []*flow // flows with items
	waiting int
	tokens  float64 // sum over waiting items
	virtual float64 // start tag of the last request that started
	started meter   // tokens started
}

// Queue starts the requests of one group by priority, and within a priority by
// start-time fair queueing over organisations, measured in tokens. It is not safe
// for concurrent use.
type Queue struct {
	slots       int
	inUse       int
	bulkInUse   int
	bulkLimit   int // requests of class bulk that may be in progress
	classes     [classes]classQueue
	waiting     int
	sinceBulk   int
	slotRate    float64 // measured tokens per second of one slot
	heldTokens  float64
	heldSeconds float64
}

// NewQueue returns a queue for a number of slots, each of which is assumed to
// serve slotRate tokens per second until requests have been measured.
func NewQueue(slots int, slotRate float64) *Queue {
	q := &Queue{slots: slots, bulkLimit: math.MaxInt, slotRate: slotRate}
	for c := range q.classes {
		q.classes[c].flows = make(map[string]*flow)
	}
	return q
}

// hasSlot reports whether a slot is free for a request of the class.
func (q *Queue) hasSlot(class int) bool {
	if class != classBulk {
		return q.inUse < q.slots
	}
	return q.inUse < q.slots-q.slots/urgentReserve && q.bulkInUse < q.bulkLimit
}

// canStartNow reports whether a new request may start without waiting: a slot is
// free and no request of its class or a higher one waits.
func (q *Queue) canStartNow(class int) bool {
	for c := classUrgent; c <= class; c++ {
		if q.classes[c].waiting > 0 {
			return false
		}
	}
	return q.hasSlot(class)
}

// startNow starts a new request that need not wait.
func (q *Queue) startNow(now time.Time, it *Item) {
	c := &q.classes[it.class]
	f := c.flow(it.organisation)
	q.start(now, c, f, it)
}

// start counts a request as in progress.
func (q *Queue) start(now time.Time, c *classQueue, f *flow, it *Item) {
	c.startTag(f, it.tokens)
	c.started.add(now, it.tokens)
	q.inUse++
	if it.class == classBulk {
		q.bulkInUse++
	}
}

// enqueue adds a request to the queue.
func (q *Queue) enqueue(it *Item) {
	c := &q.classes[it.class]
	f := c.flow(it.organisation)
	if len(f.items) == 0 {
		f.tag = max(f.tag, c.virtual)
		c.backlog = append(c.backlog, f)
	}
	f.items = append(f.items, it)
	f.tokens += it.tokens
	c.tokens += it.tokens
	c.waiting++
	q.waiting++
}

// Remove removes a waiting request. It reports whether the request was waiting.
func (q *Queue) Remove(it *Item) bool {
	c := &q.classes[it.class]
	f := c.flows[it.organisation]
	if f == nil {
		return false
	}
	i := slices.Index(f.items, it)
	if i < 0 {
		return false
	}
	f.items = slices.Delete(f.items, i, i+1)
	f.tokens -= it.tokens
	c.tokens -= it.tokens
	c.waiting--
	q.waiting--
	if len(f.items) == 0 {
		f.tokens = 0
		c.backlog = slices.DeleteFunc(c.backlog, func(o *flow) bool { return o == f })
	}
	if c.waiting == 0 {
		c.tokens = 0
	}
	return true
}

// Next starts and returns the next request, or returns nil when none may start.
func (q *Queue) Next(now time.Time) *Item {
	class := q.nextClass()
	if class < 0 {
		return nil
	}
	c := &q.classes[class]
	f := slices.MinFunc(c.backlog, func(a, b *flow) int { return compare(a.tag, b.tag) })
	it := f.items[0]
	q.Remove(it)
	q.start(now, c, f, it)
	return it
}

// nextClass returns the class of the next request to start, or -1 when none may
// start.
func (q *Queue) nextClass() int {
	if q.classes[classUrgent].waiting > 0 {
		if q.hasSlot(classUrgent) {
			return classUrgent
		}
		return -1
	}
	normal := q.classes[classNormal].waiting > 0 && q.hasSlot(classNormal)
	bulk := q.classes[classBulk].waiting > 0 && q.hasSlot(classBulk)
	switch {
	case normal && bulk:
		q.sinceBulk++
		if q.sinceBulk >= bulkStartInterval {
			q.sinceBulk = 0
			return classBulk
		}
		return classNormal
	case normal:
		return classNormal
	case bulk:
		q.sinceBulk = 0
		return classBulk
	}
	return -1
}

// Release frees the slot of a request, which held it for a time and used tokens,
// and updates the measured service rate. The caller then starts what Next
// returns.
func (q *Queue) Release(it *Item, tokens float64, held time.Duration) {
	q.inUse--
	if it.class == classBulk {
		q.bulkInUse--
	}
	if tokens <= 0 || held <= 0 {
		return
	}
	const keep = 0.98 // weight of earlier requests at each release
	q.heldTokens = q.heldTokens*keep + tokens
	q.heldSeconds = q.heldSeconds*keep + held.Seconds()
	q.slotRate = q.heldTokens / q.heldSeconds
}

// flow returns the organisation's flow, creating it if needed.
func (c *classQueue) flow(organisation string) *flow {
	f := c.flows[organisation]
	if f == nil {
		c.prune()
		f = &flow{tag: c.virtual}
		c.flows[organisation] = f
	}
	return f
}

// prune removes idle flows when there are many. Flows whose start tag is ahead of
// the virtual time stay, since their organisations are ahead of their fair share.
func (c *classQueue) prune() {
	if len(c.flows) < maxIdleFlows+len(c.backlog) {
		return
	}
	for name, f := range c.flows {
		if len(f.items) == 0 && f.tag <= c.virtual {
			delete(c.flows, name)
		}
	}
}

// startTag advances the virtual time and the tag of the flow for one start.
func (c *classQueue) startTag(f *flow, tokens float64) {
	f.tag = max(f.tag, c.virtual)
	c.virtual = f.tag
	f.tag += tokens
}

func compare(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
