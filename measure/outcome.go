package measure

import (
	"github.com/bronzeturn/bronzeturn/cascade"
	"github.com/bronzeturn/bronzeturn/failure"
	"github.com/bronzeturn/bronzeturn/quality"
)

// evaluateAnswer handles a complete answer. In a cascade, it checks the answer of the
// first version and escalates the request if necessary. Otherwise it ends the request.
func (s *sim) evaluateAnswer(r *request) {
	f := &r.flow
	version, kind := f.version, r.kind.GetName()
	good := r.goodDraw < s.truth.quality(version, kind, s.now)
	s.quality.AddAnswer(quality.CompletedAnswer{Version: version, Kind: kind, CompletionTokens: r.completion})
	accepted := false
	if r.decision.Escalatable && !r.escalated {
		verdict := checkAnswer(good, r.checkDraw)
		s.quality.AddCheck(quality.CheckResult{Version: version, Kind: kind, Flagged: !verdict.OK()})
		next := cascade.Next(&r.decision.Cascade, &cascade.State{Verdict: verdict, Deadline: r.deadline}, s.now)
		if next.Version != "" {
			r.escalated = true
			s.startVersion(r, next.Version)
			return
		}
		accepted = verdict.OK()
	}
	s.rateAnswer(r, version, accepted, good)
	s.end(r)
	s.result.recordAnswer(s, r, good)
	s.release(r)
}

// checkAnswer simulates the check of a cascade. It flags bad answers with the
// probability checkRecall and good ones with the probability checkFalseAlarm.
func checkAnswer(good bool, draw float64) cascade.Verdict {
	flagRate := checkRecall
	if good {
		flagRate = checkFalseAlarm
	}
	if draw < flagRate {
		return cascade.Unsure
	}
	return cascade.Passed
}

// expectedQuality returns the true expected quality of the version or the cascade
// that was selected for the request.
func (s *sim) expectedQuality(r *request) float64 {
	if r.decision.Escalatable {
		return s.truth.expectedCascade(r.decision.Version, r.decision.Cascade.Next, r, s.now).Quality
	}
	return s.truth.quality(r.flow.version, r.kind.GetName(), s.now)
}

// end marks the request as ended.
func (s *sim) end(r *request) {
	r.ended = true
	s.inProgress--
}

// refuse ends a request that was not executed.
func (s *sim) refuse(r *request, code failure.Code) {
	if r.ended {
		return
	}
	s.end(r)
	s.result.recordRefusal(r, code)
	s.release(r)
}

// fail ends a request that got no complete answer and may have been executed.
func (s *sim) fail(r *request) {
	s.end(r)
	s.result.recordFailure(r)
	s.release(r)
}

// expire ends a request whose deadline has passed. It is refused if it was never
// started, and fails otherwise.
func (s *sim) expire(r *request) {
	if r.ended {
		return
	}
	for _, a := range r.flow.liveAttempts {
		s.cancel(a)
	}
	r.flow.liveAttempts = nil
	if r.flow.slotAcquiredAt.IsZero() {
		s.refuse(r, failure.CodeDeadlinePassed)
		return
	}
	s.fail(r)
}
