package cascade

import "strings"

// Answer holds the properties of a complete answer that a Checker can use.
type Answer struct {
	Kind string
	// Text is the generated text.
	Text string
	// FinishReason is the finish reason that the engine reported, for example "stop"
	// or "length".
	FinishReason string
	// HasConfidence reports whether the engine reported Confidence.
	HasConfidence bool
	// Confidence is the mean probability of the generated tokens, 0 to 1.
	Confidence float64
}

// Verdict is the result of a check.
type Verdict uint8

// The values of Verdict.
const (
	// Passed means that the check found no fault.
	Passed Verdict = iota
	// Empty means that the answer holds no text.
	Empty
	// Truncated means that the engine stopped at the length limit or because of its
	// content filter.
	Truncated
	// Declined means that the start of the answer contains a refusal phrase.
	Declined
	// Unsure means that the engine's confidence is low.
	Unsure
	// RatedLow means that a rating below the target arrived in time.
	RatedLow
)

var verdictNames = [...]string{"passed", "empty", "truncated", "declined", "unsure", "rated_low"}

// OK reports whether the answer passed the check.
func (v Verdict) OK() bool { return v == Passed }

// String returns the name used in logs.
func (v Verdict) String() string {
	if int(v) < len(verdictNames) {
		return verdictNames[v]
	}
	return "unknown"
}

// Checker looks for faults in a complete answer. Check must be fast, without side
// effects and dependent only on the answer.
type Checker interface {
	Check(a *Answer) Verdict
}

// DefaultMinConfidence is the confidence below which BasicChecker returns Unsure.
const DefaultMinConfidence = 0.5

// refusalSearchBytes is the number of bytes at the start of an answer that are
// searched for refusal phrases.
const refusalSearchBytes = 160

// BasicChecker checks for empty text, the finish reason, refusal phrases and the
// engine's confidence. The zero value is ready for use.
type BasicChecker struct {
	// MinConfidence defaults to DefaultMinConfidence.
	MinConfidence float64
	// RefusalMarks are lower-case phrases that mark a refusal at the start of an
	// answer. Nil means a default list.
	RefusalMarks []string
}

var defaultRefusalMarks = []string{
	"i cannot help", "i can't help", "i am unable to", "i'm unable to", "as an ai",
	"não posso ajudar", "não consigo ajudar", "no puedo ayudar",
}

// Check implements Checker.
func (c BasicChecker) Check(a *Answer) Verdict {
	text := strings.TrimSpace(a.Text)
	switch {
	case text == "":
		return Empty
	case a.FinishReason == "length" || a.FinishReason == "content_filter":
		return Truncated
	case c.startsWithRefusal(text):
		return Declined
	case a.HasConfidence && a.Confidence < c.minConfidence():
		return Unsure
	}
	return Passed
}

func (c BasicChecker) startsWithRefusal(text string) bool {
	marks := c.RefusalMarks
	if marks == nil {
		marks = defaultRefusalMarks
	}
	start := strings.ToLower(text[:min(len(text), refusalSearchBytes)])
	for _, m := range marks {
		if strings.Contains(start, m) {
			return true
		}
	}
	return false
}

func (c BasicChecker) minConfidence() float64 {
	if c.MinConfidence == 0 {
		return DefaultMinConfidence
	}
	return c.MinConfidence
}
