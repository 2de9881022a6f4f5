package gateway

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestRetryAfterIsWithinWhatCallersHonour guards against callers that retry before their
// session has expired, because they wait only for a share of the time to their deadline.
func TestRetryAfterIsWithinWhatCallersHonour(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		left := time.Duration(rapid.IntRange(1, 60_000).Draw(t, "left")) * time.Millisecond
		wait := time.Duration(rapid.Int64Range(1, int64(left)).Draw(t, "wait"))
		hold := holdBeforeRetryAfter(wait, left)
		advised, honoured := wait-hold, time.Duration(honouredShare*float64(left-hold))
		if advised > honoured+time.Microsecond {
			t.Fatalf("advised to wait %s, of which %s are honoured", advised, honoured)
		}
		if wait <= left/3 && hold > time.Microsecond {
			t.Fatalf("held for %s before advice that would be honoured at once", hold)
		}
	})
}
