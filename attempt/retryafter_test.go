package attempt

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestRetryAfterIsParsed(t *testing.T) {
	for value, want := range map[string]time.Duration{
		"3": 3 * time.Second, "0.25": 250 * time.Millisecond, "1e9": maxRetryAfter, "": 0, "0": 0, "-1": 0, "NaN": 0, "soon": 0,
	} {
		qt.Check(t, RetryAfter(http.Header{"Retry-After": {value}}), qt.Equals, want, qt.Commentf("%q", value))
	}
}
