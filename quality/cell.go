package quality

import (
	"errors"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// UninformedPrior is the mean of a cell that no register entry describes.
const UninformedPrior = 0.5

// refreshInterval bounds the age of a published estimate: discounting over a
// shorter time changes it by less than its resolution matters.
const refreshInterval = time.Minute

// tokenSmoothing is the weight of a new answer in the expected length.
const tokenSmoothing = 1.0 / 32

// flagSmoothing is the weight of a new check in the share of flagged answers.
const flagSmoothing = 1.0 / 64

// Errors of this package.
var (
	// ErrScore means that a score is not a number from 0 to 1.
	ErrScore = errors.New("quality: score outside 0 to 1")
	// ErrReport means that a report of another daemon is malformed.
	ErrReport = errors.New("quality: malformed report")
	// ErrPublication means that a published estimate names no publisher.
	ErrPublication = errors.New("quality: malformed publication")
	// ErrNotAggregator means that a report came to a daemon that does not
	// aggregate the version.
	ErrNotAggregator = errors.New("quality: not the aggregator of the version")
	// ErrOptions means that Options hold a value out of bounds.
	ErrOptions = errors.New("quality: invalid options")
)

// Cell is the estimate of one version for one task kind. Its lock guards the
// evidence; readers load one published word.
type Cell struct {
	word    atomic.Uint64 // packed Estimate
	expires atomic.Int64  // Unix nanoseconds until which word is fresh
	tokens  atomic.Uint64 // float64 bits of the expected completion tokens
	flagged atomic.Uint64 // float64 bits of the share of flagged answers

	mu      sync.Mutex
	options *Options
	prior   float64
	// soleUser is true when only one organisation may use the version, whose
	// ratings then concern nobody else.
	soleUser bool
	// base is evidence merged by the aggregator, without names.
	base moments
	// ratings is the evidence by organisation that base does not hold.
	ratings evidence
	at      time.Time // time to which all evidence is discounted
}

func newCell(o *Options) *Cell {
	c := &Cell{options: o, prior: UninformedPrior}
	c.publish(time.Time{})
	return c
}

// SetFlaggedShare sets the expected share of flagged answers before any check ran.
func (c *Cell) SetFlaggedShare(share float64) {
	c.flagged.CompareAndSwap(0, math.Float64bits(share))
}

// SetPrior sets the prior of the register and whether a single organisation
// may use the version.
func (c *Cell) SetPrior(mean float64, soleUser bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.prior == mean && c.soleUser == soleUser {
		return
	}
	c.prior, c.soleUser = clamp(mean), soleUser
	c.publish(c.at)
}

// Estimate returns the estimate as of now. It allocates nothing and takes the
// lock only when the published word is older than a minute.
func (c *Cell) Estimate(now time.Time) Estimate {
	return c.EstimateAt(now.UnixNano())
}

// EstimateAt is Estimate for a Unix time in nanoseconds.
func (c *Cell) EstimateAt(unixNano int64) Estimate {
	if unixNano > c.expires.Load() {
		c.refresh(time.Unix(0, unixNano))
	}
	return unpack(c.word.Load())
}

// CompletionTokens returns the measured mean length of an answer in tokens,
// and 0 before the first answer.
func (c *Cell) CompletionTokens() float64 {
	return math.Float64frombits(c.tokens.Load())
}

// FlaggedShare returns the share of answers that the check of a cascade flagged.
func (c *Cell) FlaggedShare() float64 {
	return math.Float64frombits(c.flagged.Load())
}

func (c *Cell) answered(n int64) {
	if c.tokens.CompareAndSwap(0, math.Float64bits(float64(n))) {
		return
	}
	smooth(&c.tokens, float64(n), tokenSmoothing)
}

func (c *Cell) checked(flagged bool) {
	x := 0.0
	if flagged {
		x = 1
	}
	smooth(&c.flagged, x, flagSmoothing)
}

// smooth moves the float64 bits in word by the share weight towards x.
func smooth(word *atomic.Uint64, x, weight float64) {
	for {
		old := word.Load()
		mean := math.Float64frombits(old)
		if word.CompareAndSwap(old, math.Float64bits(mean+(x-mean)*weight)) {
			return
		}
	}
}

func (c *Cell) observe(e Rating) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.discount(e.At)
	r := c.ratings.of(e.Organisation)
	r.fresh.add(moments{sum: e.Score, weight: 1})
	r.fresh.limit(c.options.MaxWeight)
	c.limit()
	c.publish(e.At)
}

// ClearRatings drops all ratings. The prior stays.
func (c *Cell) ClearRatings() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.base = moments{}
	c.ratings = evidence{}
	c.publish(c.at)
}

func (c *Cell) refresh(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.discount(now)
	c.publish(now)
}

// discount ages all evidence to now. The caller holds the lock.
func (c *Cell) discount(now time.Time) {
	if c.at.IsZero() {
		c.at = now
		return
	}
	age := now.Sub(c.at)
	if age < refreshInterval {
		return
	}
	f := math.Exp2(-age.Seconds() / c.options.HalfLife.Seconds())
	c.at = now
	c.base.scale(f)
	c.ratings.scale(f)
}

// limit forgets older evidence in proportion once there is too much of it, a
// tenth at a time. The caller holds the lock.
func (c *Cell) limit() {
	const step = 0.9
	if c.base.weight+c.ratings.total().weight > c.options.MaxTotal {
		c.base.scale(step)
		c.ratings.scale(step)
	}
}

// publish writes the estimate for readers. The caller holds the lock.
func (c *Cell) publish(now time.Time) {
	e := estimate(c.merged(&c.ratings), c.prior, c.options)
	c.word.Store(pack(e))
	if !now.IsZero() {
		c.expires.Store(now.Add(refreshInterval).UnixNano())
	}
}

// merged returns the evidence that counts: base and all ratings but those of
// the organisation with the largest influence on the mean. The caller holds the
// lock.
func (c *Cell) merged(ratings *evidence) moments {
	total := c.base
	total.add(ratings.total())
	if c.soleUser {
		return total
	}
	w := c.options.PriorWeight
	mean := (total.sum + w*c.prior) / (total.weight + w)
	total.subtract(ratings.mostInfluential(mean))
	return total
}

func hash(k key) uint64 {
	return xxhash.Sum64String(k.version)*31 + xxhash.Sum64String(k.kind)
}
