package cascade_test

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/cascade"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestNextEscalatesOnlyIfAllowed(t *testing.T) {
	tests := []struct {
		name   string
		change func(*cascade.Plan, *cascade.State)
		reason cascade.Reason
	}{
		{"a flagged answer is escalated", func(*cascade.Plan, *cascade.State) {}, cascade.Escalated},
		{"a good answer is accepted", func(_ *cascade.Plan, s *cascade.State) { s.Verdict = cascade.Passed }, cascade.Accepted},
		{"no version to escalate to", func(p *cascade.Plan, _ *cascade.State) { p.Next = "" }, cascade.NotEscalatable},
		{"part of the answer was delivered", func(_ *cascade.Plan, s *cascade.State) { s.Delivered = true }, cascade.AlreadyDelivered},
		{"the second attempt would miss the deadline", func(_ *cascade.Plan, s *cascade.State) { s.Deadline = now.Add(time.Second) }, cascade.TooLate},
		{"the second attempt would meet the deadline", func(_ *cascade.Plan, s *cascade.State) { s.Deadline = now.Add(2 * time.Second) }, cascade.Escalated},
		{"the second attempt would exceed the spend limit", func(_ *cascade.Plan, s *cascade.State) { s.SpendLimited = true; s.SpendLeftMicros = 99 }, cascade.OverSpend},
		{"the second attempt is within the spend limit", func(_ *cascade.Plan, s *cascade.State) { s.SpendLimited = true; s.SpendLeftMicros = 100 }, cascade.Escalated},
		{"the stronger version has been withdrawn", func(_ *cascade.Plan, s *cascade.State) { s.NextRefused = true }, cascade.Refused},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := cascade.Plan{Next: "strong", NextCostMicros: 100, NextDuration: 2 * time.Second}
			s := cascade.State{Verdict: cascade.RatedLow}
			test.change(&p, &s)
			d := cascade.Next(&p, &s, now)
			qt.Assert(t, d.Reason, qt.Equals, test.reason)
			qt.Assert(t, d.Version == "strong", qt.Equals, test.reason == cascade.Escalated)
		})
	}
}

func TestBasicChecker(t *testing.T) {
	tests := []struct {
		name    string
		answer  cascade.Answer
		verdict cascade.Verdict
	}{
		{"a plain answer", cascade.Answer{Text: "The battery is at 80%.", FinishReason: "stop"}, cascade.Passed},
		{"white space", cascade.Answer{Text: " \n", FinishReason: "stop"}, cascade.Empty},
		{"truncated at the length limit", cascade.Answer{Text: "The bat", FinishReason: "length"}, cascade.Truncated},
		{"stopped by the content filter", cascade.Answer{Text: "The", FinishReason: "content_filter"}, cascade.Truncated},
		{"a refusal", cascade.Answer{Text: "Desculpe, NÃO POSSO AJUDAR com isso."}, cascade.Declined},
		{"a refusal phrase after the searched start", cascade.Answer{Text: string(make([]byte, 300)) + "no puedo ayudar"}, cascade.Passed},
		{"low confidence", cascade.Answer{Text: "ok", HasConfidence: true, Confidence: 0.2}, cascade.Unsure},
		{"no confidence reported", cascade.Answer{Text: "ok"}, cascade.Passed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, cascade.BasicChecker{}.Check(&test.answer), qt.Equals, test.verdict)
		})
	}
}

func TestExpectCombinesBothAttempts(t *testing.T) {
	out := cascade.Expect(10, 0.9, 0.25, 100, 0.98)
	qt.Assert(t, out.Cost, qt.Equals, 35.0)
	qt.Assert(t, math.Abs(out.Quality-(0.75*0.9+0.25*0.98)) < 1e-12, qt.IsTrue)
}

func TestPriorAcceptedIsConsistentWithPriorFlagged(t *testing.T) {
	for _, q := range []float64{0, 0.3, 0.7, 1} {
		flagged, accepted := cascade.PriorFlagged(q), cascade.PriorAccepted(q)
		// Every good answer is either accepted or a false alarm.
		good := (1-flagged)*accepted + q*cascade.PriorFalseAlarm
		qt.Check(t, math.Abs(good-q) < 1e-12, qt.IsTrue, qt.Commentf("quality %v: %v", q, good))
	}
}
