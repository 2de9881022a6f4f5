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
	// minTimedAnswers is the number of answers below which nothing is concluded from them.
	minTimedAnswers = 10
	// maxTimedKinds bounds the kinds whose times are kept. Configurations add and remove routes for as long
	// as the daemon runs.
	maxTimedKinds = 4096
	// lengthClasses is the number of classes of lengths, each twice as long as the one before.
	lengthClasses = 20
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
	return answerKind{service: service, stream: true, class: min(bits.Len(uint(tokens)), lengthClasses)}
}

// ofService returns the kind that covers all routes.
func (k answerKind) ofService() answerKind {
	k.route = ""
	return k
}

// bounds reports whether the time of an answer of kind k is a lower bound for the slowest answers of another
// kind.
func (k answerKind) bounds(other answerKind) bool {
	return k.service == other.service && k.stream == other.stream && k.class <= other.class
}

// recentTimes are the slowest of the recent answers of one kind.
type recentTimes struct {
	// since is when the first of the requests observed without a pause was received.
	since             time.Time
	answers           int
	begun             time.Time
	current, previous time.Duration
}

// advance begins a new window if the present one has ended.
func (r *recentTimes) advance(now time.Time) {
	switch age := now.Sub(r.begun); {
	case age < timesWindow:
	case age < 2*timesWindow:
		r.begun, r.previous, r.current = r.begun.Add(timesWindow), r.current, 0
	default:
		*r = recentTimes{}
	}
}

// answerTimes holds the slowest of the recent answers of each kind. It is safe for concurrent use.
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
	a.add(kind, received, now)
	if kind.route != "" {
		a.add(kind.ofService(), received, now)
	}
}

func (a *answerTimes) add(kind answerKind, received, now time.Time) {
	r := a.recent[kind]
	if r == nil {
		if len(a.recent) >= maxTimedKinds {
			clear(a.recent)
		}
		r = &recentTimes{}
		a.recent[kind] = r
	}
	r.advance(now)
	if r.answers == 0 {
		r.since, r.begun = received, now
	}
	r.answers++
	r.current = max(r.current, now.Sub(received))
}

// slowest returns the time of the slowest recent answer of a kind, and false if too little is known. If
// that is so for a class of lengths, longer answers count too, and for a route, those of its service.
//
// Answers of stated lengths count if there is a number of them. Others must have been observed for as long as
// the time left that is asked for, too: the daemon does not know yet of answers that take longer.
func (a *answerTimes) slowest(kind answerKind, left time.Duration, now time.Time) (slowest time.Duration, known bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if kind.class == 0 {
		for _, k := range []answerKind{kind, kind.ofService()} {
			if r := a.get(k, now); r.answers >= minTimedAnswers && now.Sub(r.since) >= left {
				return max(r.current, r.previous), true
			}
		}
		return 0, false
	}
	answers := 0
	for ; kind.class <= lengthClasses; kind.class++ {
		r := a.get(kind, now)
		answers += r.answers
		slowest = max(slowest, r.current, r.previous)
		if answers >= minTimedAnswers {
			return slowest, true
		}
	}
	return 0, false
}

// get returns what is known of a kind, zero for nothing.
func (a *answerTimes) get(kind answerKind, now time.Time) recentTimes {
	r := a.recent[kind]
	if r == nil {
		return recentTimes{}
	}
	r.advance(now)
	return *r
}

// withMargin returns the longest time expected for an answer if the slowest one has taken the given time.
func withMargin(slowest time.Duration) time.Duration {
	return timesMargin*slowest + timesSlack
}
