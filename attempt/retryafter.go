package attempt

import (
	"net/http"
	"strconv"
	"time"
)

// maxRetryAfter bounds the time for which a peer may ask.
const maxRetryAfter = time.Hour

// RetryAfter returns the time for which the header Retry-After asks the sender for no requests,
// in seconds with fractions, or zero if it does not ask. An invalid value counts as absent.
func RetryAfter(h http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if err != nil || !(seconds > 0) {
		return 0
	}
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}
