package quarantine

import (
	"time"

	"github.com/rs/zerolog"
)

// Retry-After advice for requests that crash engines.
const (
	// retryAfter is long because a quarantined request is not accepted again soon.
	retryAfter = 10 * time.Minute
	// uncertainRetryAfter applies while the crashes may be due to another request. It is
	// short because a retry soon determines the cause.
	uncertainRetryAfter = 2 * time.Second
)

// RetryAfter returns how long the caller of a refused request should wait before repeating it.
func (r *Record) RetryAfter() time.Duration {
	if r.Tied {
		return uncertainRetryAfter
	}
	return retryAfter
}

// MarshalZerologObject implements zerolog.LogObjectMarshaler. It adds the fields that are
// logged when a request is refused.
func (r *Record) MarshalZerologObject(e *zerolog.Event) {
	now := time.Now()
	e.Stringer("held_by", r.Hash).Bool("shared", r.Shared).Strs("crashed", r.Engines).Bool("tied", r.Tied).
		Dur("first_age_ms", now.Sub(r.First)).Dur("last_age_ms", now.Sub(r.Last)).Str("told_by", r.Daemon)
}
