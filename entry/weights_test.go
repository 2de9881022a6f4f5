package entry

import (
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestWeightsAreChecked guards against a misspelt weight that takes the share of an organisation
// away or gives it all of the capacity.
func TestWeightsAreChecked(t *testing.T) {
	c := qt.New(t)
	got, err := ParseWeights("a=2, b=0.5,c d=1e3")
	c.Assert(err, qt.IsNil)
	c.Check(got, qt.DeepEquals, map[string]float64{"a": 2, "b": 0.5, "c d": 1000})
	got, err = ParseWeights("")
	c.Assert(err, qt.IsNil)
	c.Check(got, qt.HasLen, 0)
	for text, want := range map[string]string{
		"a=1,b=0":    `.*"b": weight "0" is not positive and finite`,
		"a=-1":       `.*"a": weight "-1" is not positive and finite`,
		"a=NaN":      `.*"a": weight "NaN" is not positive and finite`,
		"a=1,b=+Inf": `.*"b": weight "\+Inf" is not positive and finite`,
		"a=1e999":    `.*"a": weight "1e999" is not a number`,
		"a=x":        `.*"a": weight "x" is not a number`,
		"a":          `.*"a": weight "" is not a number`,
		"a=1=2":      `.*"a": weight "1=2" is not a number`,
		"a=1,a=2":    `.*"a": weight "2" is given a second time`,
		"a=1,":       `.*"": weight "" belongs to no organisation`,
		"=1":         `.*"": weight "1" belongs to no organisation`,
	} {
		_, err := ParseWeights(text)
		c.Check(err, qt.ErrorMatches, want, qt.Commentf(text))
		var invalid *WeightError
		c.Check(errors.As(err, &invalid), qt.IsTrue)
	}
}
