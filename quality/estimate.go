package quality

import "math"

// Estimate is the estimated mean quality of a version for one task kind.
type Estimate struct {
	// Mean is the expected score, 0 to 1.
	Mean float64
	// Lower and Upper bound the credible interval, 0 to 1.
	Lower, Upper float64
	// Weight is the discounted number of ratings behind the estimate, not
	// counting the prior.
	Weight float64
}

// Resolution of the 16-bit fields of a packed Estimate.
const (
	fieldMax    = 1<<16 - 1
	fieldUnit   = 1.0 / fieldMax
	weightScale = 16.0
)

// moments are the sum of scores and the number of ratings, both discounted.
type moments struct{ sum, weight float64 }

func (m *moments) add(o moments) {
	m.sum += o.sum
	m.weight += o.weight
}

func (m *moments) subtract(o moments) {
	m.sum = math.Max(0, m.sum-o.sum)
	m.weight = math.Max(0, m.weight-o.weight)
}

func (m *moments) scale(f float64) {
	m.sum *= f
	m.weight *= f
}

// limit scales the evidence down to the weight max if it exceeds it.
func (m *moments) limit(max float64) {
	if m.weight > max {
		m.scale(max / m.weight)
	}
}

// estimate returns the posterior of a Beta prior after the evidence m, with the
// credible interval from its normal approximation.
func estimate(m moments, prior float64, o *Options) Estimate {
	n := m.weight + o.PriorWeight
	mean := clamp((m.sum + prior*o.PriorWeight) / n)
	d := o.Z * math.Sqrt(mean*(1-mean)/(n+1))
	return Estimate{Mean: mean, Lower: clamp(mean - d), Upper: clamp(mean + d), Weight: m.weight}
}

func pack(e Estimate) uint64 {
	w := math.Min(e.Weight*weightScale, fieldMax)
	return packField(e.Mean) | packField(e.Lower)<<16 | packField(e.Upper)<<32 | uint64(w)<<48
}

func unpack(w uint64) Estimate {
	return Estimate{
		Mean:   float64(w&fieldMax) * fieldUnit,
		Lower:  float64(w>>16&fieldMax) * fieldUnit,
		Upper:  float64(w>>32&fieldMax) * fieldUnit,
		Weight: float64(w>>48) / weightScale,
	}
}

func packField(x float64) uint64 { return uint64(math.Round(x * fieldMax)) }

func clamp(x float64) float64 { return math.Min(1, math.Max(0, x)) }
