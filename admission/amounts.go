package admission

import (
	"math"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// The dimensions of a limit.
const (
	dimRequests   = iota // requests per second
	dimTokens            // tokens per second
	dimConcurrent        // requests in progress
	dimSpend             // micro-units of currency per UTC day
	dimensions
)

// amounts holds one value per dimension of a limit. In a limit, zero means
// that the dimension is not limited.
type amounts [dimensions]float64

// limitAmounts returns the amounts of an operator's limit.
func limitAmounts(l *bronzeturnv1.Limit) amounts {
	return amounts{
		dimRequests:   l.GetRequestsPerSecond(),
		dimTokens:     l.GetTokensPerSecond(),
		dimConcurrent: float64(l.GetConcurrentRequests()),
		dimSpend:      float64(l.GetDailySpendMicros()),
	}
}

// limited reports whether dimension d of a limit bounds anything.
func (a *amounts) limited(d int) bool { return a[d] > 0 }

// any reports whether the limit bounds any dimension.
func (a *amounts) any() bool { return *a != amounts{} }

// equalPart returns what each of n daemons gets when the limit is divided
// evenly. Each daemon may run at least one request, so a concurrency limit below
// the number of daemons may be exceeded by up to the difference.
func (a *amounts) equalPart(n int) amounts {
	var part amounts
	for d := range a {
		part[d] = a[d] / float64(max(n, 1))
	}
	if a.limited(dimConcurrent) {
		part[dimConcurrent] = max(1, math.Floor(part[dimConcurrent]))
	}
	return part
}

// minOf returns the smaller value of each dimension.
func minOf(a, b amounts) amounts {
	for d := range a {
		a[d] = min(a[d], b[d])
	}
	return a
}
