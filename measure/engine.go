package measure

import (
	"math/rand/v2"
	"slices"
	"time"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

const (
	// prefillRate is how fast engines read prompts, in tokens per second.
	prefillRate = 8000
	// cachedPart of the reading time is left when the prefix is cached.
	cachedPart = 0.2
	// cacheEntries bounds the prefixes that an engine keeps.
	cacheEntries = 64
	// One in stragglerOdds attempts generates stragglerFactor times slower.
	stragglerOdds   = 100
	stragglerFactor = 4
	// priorities is the number of queues of an engine.
	priorities = 3
)

// fakeEngine decodes up to slots requests together and queues the rest by
// priority.
type fakeEngine struct {
	*bronzeturnv1.Engine
	clock   *clock
	rng     *rand.Rand
	slow    float64 // factor on generation times
	dead    bool
	running []*attempt
	waiting [priorities][]*attempt
	cache   []uint64 // least recently used first
}

// attempt is one copy of a request at an engine.
type attempt struct {
	request  *request
	engine   *fakeEngine
	sentAt   time.Time
	begun    time.Time // zero while it waits
	prefill  time.Duration
	generate time.Duration
	first    bool // the daemon has seen the first token
	over     bool // finished, failed or canceled
	launch   int  // number of the launch that sent it

	expectedFirst time.Duration
	onFirst       func(*attempt)
	onDone        func(*attempt)
	onFail        func(a *attempt, ran bool)
}

// submit takes in an attempt.
func (e *fakeEngine) submit(a *attempt) {
	if a.over {
		return
	}
	if e.dead {
		a.onFail(a, false)
		return
	}
	if len(e.running) < int(e.GetSlots()) {
		e.begin(a)
		return
	}
	class := priorityIndex(a.request.kind.GetPriority())
	e.waiting[class] = append(e.waiting[class], a)
}

// begin starts to read the prompt and generate.
func (e *fakeEngine) begin(a *attempt) {
	a.begun = e.clock.now
	e.running = append(e.running, a)
	a.prefill = e.prefillTime(a.request)
	a.generate = e.generateTime(a.request.completion)
	if e.rng.IntN(stragglerOdds) == 0 {
		a.generate *= stragglerFactor
	}
	e.clock.after(a.prefill, func() {
		if !a.over {
			a.onFirst(a)
		}
	})
	e.clock.after(a.prefill+a.generate, func() {
		if !a.over {
			e.leave(a)
			a.onDone(a)
		}
	})
}

func (e *fakeEngine) prefillTime(r *request) time.Duration {
	t := float64(r.prompt) / prefillRate * e.slow
	if e.touch(r.prefix) {
		t *= cachedPart
	}
	return seconds(t)
}

func (e *fakeEngine) generateTime(tokens int64) time.Duration {
	return seconds(float64(tokens) / e.GetTokensPerSecond() * e.slow)
}

// touch notes the use of a prefix and tells whether it was cached.
func (e *fakeEngine) touch(prefix uint64) bool {
	i := slices.Index(e.cache, prefix)
	if i >= 0 {
		e.cache = slices.Delete(e.cache, i, i+1)
	} else if len(e.cache) == cacheEntries {
		e.cache = slices.Delete(e.cache, 0, 1)
	}
	e.cache = append(e.cache, prefix)
	return i >= 0
}

// leave takes an attempt out and starts the next one.
func (e *fakeEngine) leave(a *attempt) {
	a.over = true
	e.running = slices.DeleteFunc(e.running, func(o *attempt) bool { return o == a })
	for class := range e.waiting {
		e.waiting[class] = slices.DeleteFunc(e.waiting[class], func(o *attempt) bool { return o == a })
	}
	for class := range e.waiting {
		if len(e.waiting[class]) > 0 && len(e.running) < int(e.GetSlots()) {
			next := e.waiting[class][0]
			e.waiting[class] = e.waiting[class][1:]
			e.begin(next)
			return
		}
	}
}

// die breaks every connection.
func (e *fakeEngine) die() {
	e.dead = true
	lost := slices.Clone(e.running)
	for class := range e.waiting {
		lost = append(lost, e.waiting[class]...)
		e.waiting[class] = nil
	}
	e.running = nil
	for _, a := range lost {
		a.over = true
	}
	for _, a := range lost {
		a.onFail(a, true)
	}
}

// load counts the requests and the tokens still to generate and to read, which
// count a twentieth.
func (e *fakeEngine) load() (requests, tokens int64) {
	left := 0.0
	for _, a := range e.running {
		total := a.prefill + a.generate
		part := 1 - e.clock.now.Sub(a.begun).Seconds()/max(total.Seconds(), 1e-9)
		left += max(part, 0) * float64(a.request.completion)
	}
	requests = int64(len(e.running))
	for class := range e.waiting {
		requests += int64(len(e.waiting[class]))
		for _, a := range e.waiting[class] {
			left += float64(a.request.completion) + float64(a.request.prompt)/20
		}
	}
	return requests, int64(left)
}

// finishAfter is the true time until an answer would be whole, for the oracle.
func (e *fakeEngine) finishAfter(r *request) time.Duration {
	if e.dead {
		return time.Hour
	}
	own := seconds(float64(r.prompt)/prefillRate*e.slow) + e.generateTime(r.completion)
	if len(e.running) < int(e.GetSlots()) {
		return own
	}
	ahead := 0
	for class := 0; class <= priorityIndex(r.kind.GetPriority()); class++ {
		ahead += len(e.waiting[class])
	}
	left := make([]time.Duration, len(e.running))
	for i, a := range e.running {
		left[i] = a.begun.Add(a.prefill + a.generate).Sub(e.clock.now)
	}
	slices.Sort(left)
	if ahead < len(left) {
		return left[ahead] + own
	}
	rounds := time.Duration(ahead / len(left))
	return left[ahead%len(left)] + rounds*left[len(left)/2] + own
}

// priorityIndex orders priorities, the most urgent first.
func priorityIndex(p bronzeturnv1.Priority) int {
	switch p {
	case bronzeturnv1.Priority_PRIORITY_URGENT:
		return 0
	case bronzeturnv1.Priority_PRIORITY_BULK:
		return 2
	}
	return 1
}
