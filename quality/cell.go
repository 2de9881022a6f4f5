package quality

import (
	"errors"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// UninformedPrior is the prior mean of a cell whose prior the register does not
// give.
const UninformedPrior = 0.5

// refreshInterval bounds the age of a packed estimate. Discounting over a shorter
// time changes the estimate by an insignificant amount.
const refreshInterval = time.Minute

// tokenSmoothing is the weight of a new answer in the moving average of lengths.
const tokenSmoothing = 1.0 / 32

// flagSmoothing is the weight of a new check in the moving average of flags.
const flagSmoothing = 1.0 / 64

// Errors of this package.
var (
	// ErrScore means that a score is not a number from 0 to 1.
	ErrScore = errors.New("quality: score outside 0 to 1")
	// ErrReport means that a report from another daemon is malformed.
	ErrReport = errors.New("quality: malformed report")
	// ErrPublication means that a publication names no publisher.
	ErrPublication = errors.New("quality: malformed publication")
	// ErrNotAggregator means that a report was sent to a daemon that does not
	// aggregate the version.
	ErrNotAggregator = errors.New("quality: not the aggregator of the version")
	// ErrOptions means that an option is out of bounds.
	ErrOptions = errors.New("quality: invalid options")
)

// Cell holds the estimate of one version for one task kind. Answers that passed
// the check of a cascade have a cell of their own. The lock guards the evidence;
// readers load the packed estimate without it.
type Cell struct {
	packed  atomic.Uint64 // packed Estimate
	expires atomic.Int64  // Unix nanoseconds until which packed is up to date
	tokens  atomic.Uint64 // float64 bits of the expected completion tokens
	flagged atomic.Uint64 // float64 bits of the share of flagged answers

	mu      sync.Mutex
	options *Options
	prior   float64
	// soleUser is true when only one organisation may use the version. Its
	// ratings then affect no other organisation and are never excluded.
	soleUser bool
	// base is the evidence from the last publication, not broken down by
	// organisation.
	base moments
	// ratings is the evidence by organisation that is not part of base.
	ratings      evidence
	discountedTo time.Time // time to which all evidence is discounted
}

func newCell(o *Options) *Cell {
	c := &Cell{options: o, prior: UninformedPrior}
	c.publish(time.Time{})
	return c
}

// SetFlaggedShare sets the initial share of flagged answers. It does nothing when
// the share is already above 0.
func (c *Cell) SetFlaggedShare(share float64) {
	c.flagged.CompareAndSwap(0, math.Float64bits(share))
}

// SetPrior sets the prior mean from the register and whether only a single
// organisation may use the version.
func (c *Cell) SetPrior(mean float64, soleUser bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.prior == mean && c.soleUser == soleUser {
		return
	}
	c.prior, c.soleUser = clamp(mean), soleUser
	c.publish(c.discountedTo)
}

// Estimate returns the estimate as of now. It does not allocate, and takes the
// lock only when the packed estimate is older than refreshInterval.
func (c *Cell) Estimate(now time.Time) Estimate {
	return c.EstimateAt(now.UnixNano())
}

// EstimateAt is like Estimate for a Unix time in nanoseconds.
func (c *Cell) EstimateAt(unixNano int64) Estimate {
	if unixNano > c.expires.Load() {
		c.refresh(time.Unix(0, unixNano))
	}
	return unpack(c.packed.Load())
}

// CompletionTokens returns the moving average of answer lengths in tokens, or 0
// before the first answer.
func (c *Cell) CompletionTokens() float64 {
	return math.Float64frombits(c.tokens.Load())
}

// FlaggedShare returns the moving average of the share of answers that the check
// of a cascade flagged.
func (c *Cell) FlaggedShare() float64 {
	return math.Float64frombits(c.flagged.Load())
}

func (c *Cell) addAnswer(n int64) {
	if c.tokens.CompareAndSwap(0, math.Float64bits(float64(n))) {
		return
	}
	smooth(&c.tokens, float64(n), tokenSmoothing)
}

func (c *Cell) addCheck(flagged bool) {
	x := 0.0
	if flagged {
		x = 1
	}
	smooth(&c.flagged, x, flagSmoothing)
}

// smooth atomically updates the exponential moving average stored as float64 bits
// in word: x gets the given weight.
func smooth(word *atomic.Uint64, x, weight float64) {
	for {
		old := word.Load()
		mean := math.Float64frombits(old)
		if word.CompareAndSwap(old, math.Float64bits(mean+(x-mean)*weight)) {
			return
		}
	}
}

func (c *Cell) addRating(e Rating) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.discount(e.At)
	r := c.ratings.recordOf(e.Organisation)
	r.unsent.add(moments{sum: e.Score, weight: 1})
	r.unsent.limit(c.options.MaxWeight)
	c.limitTotal()
	c.publish(e.At)
}

// ClearRatings removes all ratings and keeps the prior.
func (c *Cell) ClearRatings() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.base = moments{}
	c.ratings = evidence{}
	c.publish(c.discountedTo)
}

func (c *Cell) refresh(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.discount(now)
	c.publish(now)
}

// discount scales all evidence down to its weight at now. The caller holds the
// lock.
func (c *Cell) discount(now time.Time) {
	if c.discountedTo.IsZero() {
		c.discountedTo = now
		return
	}
	age := now.Sub(c.discountedTo)
	if age < refreshInterval {
		return
	}
	f := math.Exp2(-age.Seconds() / c.options.HalfLife.Seconds())
	c.discountedTo = now
	c.base.scale(f)
	c.ratings.scale(f)
}

// limitTotal scales all evidence down by a tenth when its weight exceeds MaxTotal.
// The caller holds the lock.
func (c *Cell) limitTotal() {
	const step = 0.9
	if c.base.weight+c.ratings.total().weight > c.options.MaxTotal {
		c.base.scale(step)
		c.ratings.scale(step)
	}
}

// publish stores the packed estimate for readers. The caller holds the lock.
func (c *Cell) publish(now time.Time) {
	e := estimate(c.effectiveEvidence(&c.ratings), c.prior, c.options)
	c.packed.Store(pack(e))
	if !now.IsZero() {
		c.expires.Store(now.Add(refreshInterval).UnixNano())
	}
}

// effectiveEvidence returns the evidence behind the estimate: base and all
// ratings except those of the organisation with the largest influence on the mean.
// With soleUser nothing is excluded. The caller holds the lock.
func (c *Cell) effectiveEvidence(ratings *evidence) moments {
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
