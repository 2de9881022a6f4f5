package retry

import "time"

// countBuckets is how many parts a window is counted in. The oldest part is dropped
// whole, so a count is up to one part of the window low, never high.
const countBuckets = 20

// slidingCount counts events of about the last countBuckets times width. With a
// width of zero it counts nothing.
type slidingCount struct {
	width   time.Duration
	buckets [countBuckets]float64
	// at is the number of the newest bucket since the zero of the clock.
	at  int64
	sum float64
}

// add counts one event.
func (c *slidingCount) add(now time.Time) {
	if c.width <= 0 {
		return
	}
	c.move(now)
	c.buckets[c.at%countBuckets]++
	c.sum++
}

// move drops what is too old. A clock that steps back moves nothing.
func (c *slidingCount) move(now time.Time) {
	if c.width <= 0 {
		return
	}
	at := now.UnixNano() / int64(c.width)
	if at-c.at >= countBuckets {
		c.buckets, c.sum, c.at = [countBuckets]float64{}, 0, at
		return
	}
	for c.at < at {
		c.at++
		c.sum -= c.buckets[c.at%countBuckets]
		c.buckets[c.at%countBuckets] = 0
	}
}
