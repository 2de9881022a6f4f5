package gateway

import (
	"math"
	"time"
)

// priorForecasts is how many forecasts the first guess weighs, that they are right, and
// mostForecasts the most that all before weigh against the next one.
const priorForecasts, mostForecasts = 6, 50

// foresight is how the forecasts of when a larger model begins to answer came true: the
// mean of the logarithm of the time it took, relative to the time foretold. The forecasts
// rest on estimates of engines' speed that are far off on some services.
type foresight struct {
	mean      float64
	forecasts float64
}

func newForesight() foresight { return foresight{forecasts: priorForecasts} }

// took takes in how long an answer took to begin for which a time was foretold.
func (f *foresight) took(foretold, took time.Duration) {
	if foretold <= 0 || took <= 0 {
		return
	}
	f.mean += (math.Log(took.Seconds()/foretold.Seconds()) - f.mean) / (f.forecasts + 1)
	f.forecasts = min(f.forecasts+1, mostForecasts)
}

// corrected returns a forecast with what the ones before were off by.
func (f *foresight) corrected(share float64) float64 { return share * math.Exp(f.mean) }
