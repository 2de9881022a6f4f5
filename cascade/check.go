package cascade

import "strings"

// Answer is what a router can see of a whole answer without understanding it.
type Answer struct {
	Kind string
	// Text is the generated text.
	Text string
	// FinishReason is what the engine reported, for example "stop" or "length".
	FinishReason string
	// HasConfidence tells whether the engine reported Confidence.
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
	// Truncated means that the engine stopped at a limit.
	Truncated
	// Declined means that the answer begins like a refusal.
	Declined
	// Unsure means that the engine's confidence is low.
	Unsure
	// RatedLow means that a rating below the target came in time.
	RatedLow
)

var verdictNames = [...]string{"passed", "empty", "truncated", "declined", "unsure", "rated_low"}

// OK tells whether the answer may go to the caller.
func (v Verdict) OK() bool { return v == Passed }

// String returns the name used in logs.
func (v Verdict) String() string {
	if int(v) < len(verdictNames) {
		return verdictNames[v]
	}
	return "unknown"
}

// Checker looks for faults in a whole answer. It must be pure and fast.
type Checker interface {
	Check(a *Answer) Verdict
}

// DefaultMinConfidence is the confidence below which BasicChecker is unsure.
const DefaultMinConfidence = 0.5

// refusalWindow is the number of bytes searched for marks of a refusal.
const refusalWindow = 160

// BasicChecker judges an answer by its length, its finish reason, marks of a
// refusal and the engine's confidence. The zero value is ready.
type BasicChecker struct {
	// MinConfidence defaults to DefaultMinConfidence.
	MinConfidence float64
	// RefusalMarks are lower-case phrases near the start of a refusal.
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
	case c.declined(text):
		return Declined
	case a.HasConfidence && a.Confidence < c.minConfidence():
		return Unsure
	}
	return Passed
}

func (c BasicChecker) declined(text string) bool {
	marks := c.RefusalMarks
	if marks == nil {
		marks = defaultRefusalMarks
	}
	start := strings.ToLower(text[:min(len(text), refusalWindow)])
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
