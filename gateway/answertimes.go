package gateway

import (
	"math/bits"
	"sync"
	"time"
)

const (
	// timesWindow is the length of a window of observations. The slowest answers of the present and the
	// previous window count.
	timesWindow = 30 * time.Second
	// timesMargin multiplies the slowest time, and timesSlack is added, for answers that take longer than
	// any before.
	timesMargin = 2
	timesSlack  = 50 * time.Millisecond
	// minTimedAnswers is the number of answers below which nothing is concluded from them. Fewer would miss
	// that a few in a hundred take much longer.
	minTimedAnswers = 60
	// maxTimedKinds bounds the kinds whose times are kept. Configurations add and remove routes for as long
	// as the daemon runs.
	maxTimedKinds = 4096
	// lengthClasses is the number of classes of lengths, two for each doubling.
	lengthClasses = 40
)

// answerKind identifies requests whose answers take comparable times: those on a route to a service, or, if
// route is "", all requests to a service with answers of the same form. Requests that state the length of
// their answers are compared by that instead of the route.
type answerKind struct {
	service, route string
	stream         bool
	// class is the class of lengths, zero if the length is not stated.
	class int
}

// newAnswerKind returns the kind of the answer to a request that allows a number of tokens, zero if it does
// not state any.
func newAnswerKind(service, route string, stream bool, tokens int) answerKind {
	if !stream || tokens <= 0 {
		return answerKind{service: service, route: route, stream: stream}
	}
	octave := bits.Len(uint(tokens))
	class := 2*octave - 1
	if tokens >= 3<<octave>>2 {
		class++ // The upper half of the doubling.
	}
	return answerKind{service: service, stream: true, class: min(class, lengthClasses)}
}

// ofService returns the kind that covers all routes.
func (k answerKind) ofService() answerKind {
	k.route = ""
	return k
}

// bounds reports whether the time of an answer of kind k is a lower bound for the slowest answers of another
// kind.
func (k answerKind) bounds(other answerKind) bool {
	if k.service != other.service || k.stream != other.stream {
		return false
	}
	if k.class == 0 || other.class == 0 {
		return k.class == other.class
	}
	return k.class <= other.class
}

// timesSummary sums up the times of a number of answers.
type timesSummary struct {
	answers      int
	slowest, sum time.Duration
}

// add adds the answers of another summary.
func (t *timesSummary) add(other timesSummary) {
	t.answers += other.answers
	t.slowest = max(t.slowest, other.slowest)
	t.sum += other.sum
}

// mean returns the mean time. There must be answers.
func (t timesSummary) mean() time.Duration { return t.sum / time.Duration(t.answers) }

// recentTimes are the times of the recent answers of one kind, in the present window and the one before.
type recentTimes struct {
	current, previous timesSummary
	// begun is when the present window began, since when the first request that counts was received.
	begun, since time.Time
	// next is when the first request of the present window was received.
	next time.Time
}

// advance begins a new window if the present one has ended.
func (r *recentTimes) advance(now time.Time) {
	switch age := now.Sub(r.begun); {
	case age < timesWindow:
	case age < 2*timesWindow && r.current.answers > 0:
		*r = recentTimes{previous: r.current, begun: r.begun.Add(timesWindow), since: r.next}
	default:
		*r = recentTimes{}
	}
}

// observe records the time of a request that ended now.
func (r *recentTimes) observe(received, now time.Time) {
	r.advance(now)
	if r.begun.IsZero() {
		r.begun, r.since = now, received
	}
	if r.current.answers == 0 {
		r.next = received
	}
	took := now.Sub(received)
	r.current.add(timesSummary{1, took, took})
}

// answerTimes holds the times of the recent answers of each kind. It is safe for concurrent use.
type answerTimes struct {
	mu     sync.Mutex
	recent map[answerKind]*recentTimes
}

func newAnswerTimes() *answerTimes { return &answerTimes{recent: make(map[answerKind]*recentTimes)} }

// observe records the time of a request that ended now and was received at the given time. That of an answer
// which was not completed is recorded too: the complete one would have taken longer.
func (a *answerTimes) observe(kind answerKind, received, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.of(kind).observe(received, now)
	if kind.route != "" {
		a.of(kind.ofService()).observe(received, now)
	}
}

// of returns the times of a kind, which it adds if there are none.
func (a *answerTimes) of(kind answerKind) *recentTimes {
	r := a.recent[kind]
	if r == nil {
		if len(a.recent) >= maxTimedKinds {
			clear(a.recent)
		}
		r = &recentTimes{}
		a.recent[kind] = r
	}
	return r
}

// known returns the times of the recent answers of a kind, and false if too little is known: there must be a
// number of answers, and they must have been observed for as long as the time left that is asked for, or for
// timesWindow, as the daemon does not know yet of answers that take longer. If too little is known of a class
// of lengths, longer answers count too, and for a route, those of its service.
func (a *answerTimes) known(kind answerKind, left time.Duration, now time.Time) (timesSummary, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	seen := observation{since: now}
	a.addTo(&seen, kind, now)
	if kind.class == 0 && !seen.suffices(left, now) {
		seen = observation{since: now}
		a.addTo(&seen, kind.ofService(), now)
	}
	for kind.class > 0 && kind.class < lengthClasses && !seen.suffices(left, now) {
		kind.class++
		a.addTo(&seen, kind, now)
	}
	return seen.times, seen.suffices(left, now)
}

// observation is what is known of the recent answers of some kinds.
type observation struct {
	times timesSummary
	// since is when the first of the requests was received.
	since time.Time
}

// suffices reports whether the observation tells how long answers may take, if the given time is left.
func (o *observation) suffices(left time.Duration, now time.Time) bool {
	return o.times.answers >= minTimedAnswers && now.Sub(o.since) >= min(left, timesWindow)
}

// addTo adds the recent answers of a kind to an observation.
func (a *answerTimes) addTo(o *observation, kind answerKind, now time.Time) {
	r := a.recent[kind]
	if r == nil {
		return
	}
	r.advance(now)
	if r.begun.IsZero() {
		return
	}
	o.times.add(r.current)
	o.times.add(r.previous)
	if r.since.Before(o.since) {
		o.since = r.since
	}
}

// withMargin returns the longest time expected for an answer if the slowest one has taken the given time.
func withMargin(slowest time.Duration) time.Duration {
	return timesMargin*slowest + timesSlack
}
