package gateway

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestAdviceIsWithinWhatCallersHonour guards against callers that come back before their
// session has lapsed, since they wait only a part of the time they have left.
func TestAdviceIsWithinWhatCallersHonour(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		left := time.Duration(rapid.IntRange(1, 60_000).Draw(t, "left")) * time.Millisecond
		wait := time.Duration(rapid.Int64Range(1, int64(left)).Draw(t, "wait"))
		hold := holdBeforeAdvice(wait, left)
		advised, honoured := wait-hold, time.Duration(honouredPart*float64(left-hold))
		if advised > honoured+time.Microsecond {
			t.Fatalf("advised to wait %s, of which %s are honoured", advised, honoured)
		}
		if wait <= left/3 && hold > time.Microsecond {
			t.Fatalf("held for %s before advice that would be honoured at once", hold)
		}
	})
}
