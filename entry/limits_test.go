package entry

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/backpressure"
)

func TestChangesOfALimitAreShared(t *testing.T) {
	for _, test := range []struct {
		published, stated float64
		want              bool
	}{
		{backpressure.NoLimit, 2, true}, {backpressure.NoLimit, 0, true}, {backpressure.NoLimit, backpressure.NoLimit, false},
		{2, backpressure.NoLimit, true}, {0, backpressure.NoLimit, true}, {2, 2, false}, {2, 2.1, false}, {2, 1.9, false},
		{2, 2.5, true}, {2, 0, true}, {0, 0, false}, {0, 0.1, true},
	} {
		qt.Check(t, limitChanged(test.published, test.stated), qt.Equals, test.want, qt.Commentf("%v, then %v", test.published, test.stated))
	}
}
