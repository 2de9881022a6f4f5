package retry

import "time"

// countBuckets is the number of buckets of a window. The oldest bucket is dropped as a
// whole, so a count may lack up to one bucket's events, but is never too high.
const countBuckets = 20

// slidingCount counts the events in a sliding window of countBuckets buckets of the given
// width. With a width of zero it counts nothing.
type slidingCount struct {
	width   time.Duration
	buckets [countBuckets]float64
	// newest is the number of the newest bucket, counted from the Unix epoch.
	newest int64
	sum    float64
}

// add counts one event.
func (c *slidingCount) add(now time.Time) {
	if c.width <= 0 {
		return
	}
	c.advance(now)
	c.buckets[c.newest%countBuckets]++
	c.sum++
}

// advance drops buckets older than the window. If the clock steps back, it does nothing.
func (c *slidingCount) advance(now time.Time) {
	if c.width <= 0 {
		return
	}
	at := now.UnixNano() / int64(c.width)
	if at-c.newest >= countBuckets {
		c.buckets, c.sum, c.newest = [countBuckets]float64{}, 0, at
		return
	}
	for c.newest < at {
		c.newest++
		c.sum -= c.buckets[c.newest%countBuckets]
		c.buckets[c.newest%countBuckets] = 0
	}
}
