package measure

import (
	"math/rand/v2"
	"slices"
	"time"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

const (
	// prefillTokensPerSecond is the rate at which engines process prompts.
	prefillTokensPerSecond = 8000
	// cachedPrefillFactor multiplies the prefill time if the prefix is cached.
	cachedPrefillFactor = 0.2
	// maxCachedPrefixes is the capacity of the prefix cache of an engine.
	maxCachedPrefixes = 64
	// One in attemptsPerStraggler attempts is a straggler: its generation takes
	// stragglerFactor times as long.
	attemptsPerStraggler = 100
	stragglerFactor      = 4
	// priorityCount is the number of priorities, each with its own queue.
	priorityCount = 3
)

// fakeEngine simulates an engine. It runs up to GetSlots attempts concurrently and
// queues the others by priority.
type fakeEngine struct {
	*bronzeturnv1.Engine
	clock    *clock
	rng      *rand.Rand
	slowdown float64 // factor on prefill and generation times
	crashed  bool
	running  []*attempt
	waiting  [priorityCount][]*attempt
	cache    []uint64 // least recently used first
}

// attempt is one execution of a request at an engine.
type attempt struct {
	request        *request
	engine         *fakeEngine
	sentAt         time.Time
	startedAt      time.Time // zero while it waits in the queue
	prefill        time.Duration
	generate       time.Duration
	firstTokenSeen bool // the daemon has seen the first token
	done           bool // finished, failed or cancelled
	startNumber    int  // flow.startNumber of the request when the attempt was sent

	expectedFirst time.Duration
	onFirst       func(*attempt)
	onDone        func(*attempt)
	onFail        func(a *attempt, ran bool)
}

// submit starts or queues an attempt, or fails it if the engine has crashed.
func (e *fakeEngine) submit(a *attempt) {
	if a.done {
		return
	}
	if e.crashed {
		a.onFail(a, false)
		return
	}
	if len(e.running) < int(e.GetSlots()) {
		e.start(a)
		return
	}
	class := priorityIndex(a.request.kind.GetPriority())
	e.waiting[class] = append(e.waiting[class], a)
}

// start begins an attempt and schedules its first token and its end.
func (e *fakeEngine) start(a *attempt) {
	a.startedAt = e.clock.now
	e.running = append(e.running, a)
	a.prefill = e.prefillTime(a.request)
	a.generate = e.generateTime(a.request.completion)
	if e.rng.IntN(attemptsPerStraggler) == 0 {
		a.generate *= stragglerFactor
	}
	e.clock.after(a.prefill, func() {
		if !a.done {
			a.onFirst(a)
		}
	})
	e.clock.after(a.prefill+a.generate, func() {
		if !a.done {
			e.remove(a)
			a.onDone(a)
		}
	})
}

func (e *fakeEngine) prefillTime(r *request) time.Duration {
	t := float64(r.prompt) / prefillTokensPerSecond * e.slowdown
	if e.touch(r.prefix) {
		t *= cachedPrefillFactor
	}
	return seconds(t)
}

func (e *fakeEngine) generateTime(tokens int64) time.Duration {
	return seconds(float64(tokens) / e.GetTokensPerSecond() * e.slowdown)
}

// touch marks a prefix as most recently used and reports whether it was cached.
func (e *fakeEngine) touch(prefix uint64) bool {
	i := slices.Index(e.cache, prefix)
	if i >= 0 {
		e.cache = slices.Delete(e.cache, i, i+1)
	} else if len(e.cache) == maxCachedPrefixes {
		e.cache = slices.Delete(e.cache, 0, 1)
	}
	e.cache = append(e.cache, prefix)
	return i >= 0
}

// remove removes an attempt from the engine and starts the next one in the queue.
func (e *fakeEngine) remove(a *attempt) {
	a.done = true
	e.running = slices.DeleteFunc(e.running, func(o *attempt) bool { return o == a })
	for class := range e.waiting {
		e.waiting[class] = slices.DeleteFunc(e.waiting[class], func(o *attempt) bool { return o == a })
	}
	for class := range e.waiting {
		if len(e.waiting[class]) > 0 && len(e.running) < int(e.GetSlots()) {
			next := e.waiting[class][0]
			e.waiting[class] = e.waiting[class][1:]
			e.start(next)
			return
		}
	}
}

// crash makes the engine fail all attempts, present and future.
func (e *fakeEngine) crash() {
	e.crashed = true
	interrupted := slices.Clone(e.running)
	for class := range e.waiting {
		interrupted = append(interrupted, e.waiting[class]...)
		e.waiting[class] = nil
	}
	e.running = nil
	for _, a := range interrupted {
		a.done = true
	}
	for _, a := range interrupted {
		a.onFail(a, true)
	}
}

// load returns the number of running and queued requests and the number of tokens
// that they still have to generate. A prompt token of a queued request counts as a
// twentieth of a generated one.
func (e *fakeEngine) load() (requests, tokens int64) {
	tokensLeft := 0.0
	for _, a := range e.running {
		total := a.prefill + a.generate
		part := 1 - e.clock.now.Sub(a.startedAt).Seconds()/max(total.Seconds(), 1e-9)
		tokensLeft += max(part, 0) * float64(a.request.completion)
	}
	requests = int64(len(e.running))
	for class := range e.waiting {
		requests += int64(len(e.waiting[class]))
		for _, a := range e.waiting[class] {
			tokensLeft += float64(a.request.completion) + float64(a.request.prompt)/20
		}
	}
	return requests, int64(tokensLeft)
}

// timeToFinish returns the time until the answer to a new request would be complete,
// for the oracle. It knows the remaining times of all running attempts, and takes
// the median of them for each further round of attempts that are queued ahead.
func (e *fakeEngine) timeToFinish(r *request) time.Duration {
	if e.crashed {
		return time.Hour
	}
	own := seconds(float64(r.prompt)/prefillTokensPerSecond*e.slowdown) + e.generateTime(r.completion)
	if len(e.running) < int(e.GetSlots()) {
		return own
	}
	ahead := 0
	for class := 0; class <= priorityIndex(r.kind.GetPriority()); class++ {
		ahead += len(e.waiting[class])
	}
	remaining := make([]time.Duration, len(e.running))
	for i, a := range e.running {
		remaining[i] = a.startedAt.Add(a.prefill + a.generate).Sub(e.clock.now)
	}
	slices.Sort(remaining)
	if ahead < len(remaining) {
		return remaining[ahead] + own
	}
	rounds := time.Duration(ahead / len(remaining))
	return remaining[ahead%len(remaining)] + rounds*remaining[len(remaining)/2] + own
}

// priorityIndex returns the index of the queue for a priority, the most urgent first.
func priorityIndex(p bronzeturnv1.Priority) int {
	switch p {
	case bronzeturnv1.Priority_PRIORITY_URGENT:
		return 0
	case bronzeturnv1.Priority_PRIORITY_BULK:
		return 2
	}
	return 1
}
