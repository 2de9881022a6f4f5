package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestLongAnswerStaysOnTheModelThatCompletesIt guards against escalations of long answers that
// are cut off at the deadline: the largest model takes 0.18 s for an event and the answer has
// some 110 events, so that 19.7 s pass without its end.
func TestLongAnswerStaysOnTheModelThatCompletesIt(t *testing.T) {
	c := qt.New(t)
	service, _, short := mixedService()
	m, lengths := NewModelChoice(DefaultModelOptions()), newAnswerLengths()
	for i := range 400 {
		tokens := 100 + 5*i
		lengths.observe(service.Name, "small", tokens, tokens/7+i%11, 30*time.Millisecond)
		lengths.observe(service.Name, "large", tokens, tokens/7+i%11, 180*time.Millisecond)
	}
	const doubtful = 40
	for tokens, large := range map[int]bool{250: true, 900: false, 2000: false} {
		q := m.Sized(short, service, 800, tokens)
		q.completes = func(model string) float64 { return lengths.completes(service.Name, model, tokens, 19*time.Second) }
		got, _ := m.Larger(q, "small", doubtful, at(0), noExploration)
		c.Check(got == "large", qt.Equals, large, qt.Commentf("%d tokens: %q", tokens, got))
	}
}

// TestEstimatesFarOffAreNotTrusted guards against long estimates of callers that keep answers from
// larger models although the answers are no longer than others.
func TestEstimatesFarOffAreNotTrusted(t *testing.T) {
	c := qt.New(t)
	lengths := newAnswerLengths()
	for i := range 400 {
		lengths.observe("s", "large", 50+i*37%3000, 30+i%20, 180*time.Millisecond)
	}
	c.Check(lengths.completes("s", "large", 3000, 19*time.Second) > 0.9, qt.IsTrue)
}

// TestCompletionIsCertainWhileLittleIsKnown guards against conclusions from a few answers, and
// from none.
func TestCompletionIsCertainWhileLittleIsKnown(t *testing.T) {
	c := qt.New(t)
	lengths := newAnswerLengths()
	c.Check(lengths.completes("s", "m", 1000, time.Millisecond), qt.Equals, 1.0)
	for range minLengthAnswers - 1 {
		lengths.observe("s", "m", 1000, 1000, time.Second)
	}
	c.Check(lengths.completes("s", "m", 1000, time.Millisecond), qt.Equals, 1.0)
	lengths.observe("s", "m", 1000, 1000, time.Second)
	c.Check(lengths.completes("s", "m", 1000, time.Minute) < 0.01, qt.IsTrue)
	c.Check(lengths.completes("s", "m", 1000, -time.Second), qt.Equals, 0.0)
	c.Check(lengths.completes("s", "m", 10, time.Minute) > 0.99, qt.IsTrue)
	c.Check(lengths.completes("s", "other", 1000, time.Millisecond), qt.Equals, 1.0)
	lengths.observe("s", "m", 0, 5, time.Second)
	lengths.observe("s", "m", 5, 1, time.Second)
	c.Check(lengths.lengths["s"].answers, qt.Equals, minLengthAnswers)
}
