package entry

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// WeightError reports an invalid weight of an organisation.
type WeightError struct{ Organisation, Value, Reason string }

// Error implements error.
func (e *WeightError) Error() string {
	return fmt.Sprintf("organisation weights: %q: weight %q %s", e.Organisation, e.Value, e.Reason)
}

// ParseWeights parses the weights of organisations, in the form NAME=WEIGHT,... An empty text
// means no weights. The error is a *WeightError.
func ParseWeights(text string) (map[string]float64, error) {
	if text == "" {
		return nil, nil
	}
	weights := make(map[string]float64)
	for part := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		weight, err := strconv.ParseFloat(value, 64)
		_, twice := weights[name]
		switch {
		case name == "":
			return nil, &WeightError{name, value, "belongs to no organisation"}
		case twice:
			return nil, &WeightError{name, value, "is given a second time"}
		case err != nil:
			return nil, &WeightError{name, value, "is not a number"}
		case !(weight > 0) || math.IsInf(weight, 0):
			return nil, &WeightError{name, value, "is not positive and finite"}
		}
		weights[name] = weight
	}
	return weights, nil
}
