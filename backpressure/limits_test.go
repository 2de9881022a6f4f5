package backpressure

import (
	"flag"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/rs/zerolog"
)

func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "1")
	flag.Parse()
	os.Exit(m.Run())
}

var start = time.Unix(1000, 0)

// at returns the time that is the given number of milliseconds after start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// newLimits returns Limits and their log.
func newLimits() (*Limits, *strings.Builder) {
	log := &strings.Builder{}
	return NewLimits(Options{Log: zerolog.New(log), Registerer: prometheus.NewRegistry()}), log
}

func TestLimitHoldsUntilALaterRequestIsAnsweredWithoutIt(t *testing.T) {
	c := qt.New(t)
	l, log := newLimits()
	engines := func() float64 { return float64(l.limited.Load()) }
	l.Observe(Answer{Engine: "e", Limit: NoLimit, Sent: at(0), At: at(10)})
	c.Check(log.String(), qt.Equals, "")
	l.Observe(Answer{Engine: "e", Limit: 2.5, Sent: at(0), At: at(20)})
	l.Observe(Answer{Engine: "e", Limit: 2.5, Sent: at(0), At: at(30)})
	c.Check(strings.Count(log.String(), "engine states a request limit"), qt.Equals, 1)
	l.Observe(Answer{Engine: "e", Limit: NoLimit, Sent: at(25), At: at(40)})
	c.Check(engines(), qt.Equals, 1.0, qt.Commentf("the request was sent before the limit was last stated"))
	l.Observe(Answer{Engine: "other", Limit: NoLimit, Sent: at(50), At: at(60)})
	c.Check(engines(), qt.Equals, 1.0)
	l.Observe(Answer{Engine: "e", Limit: NoLimit, Sent: at(50), At: at(60)})
	c.Check(engines(), qt.Equals, 0.0)
	c.Check(strings.Count(log.String(), "engine states no request limit any more"), qt.Equals, 1)
}

func TestRequestsToLimitedEnginesAreCounted(t *testing.T) {
	c := qt.New(t)
	l, _ := newLimits()
	l.Sent("e", false)
	l.Observe(Answer{Engine: "e", Limit: 1, At: at(0)})
	l.Sent("e", false)
	l.Sent("e", true)
	l.Sent("other", true)
	c.Check(testutil.ToFloat64(l.metrics.sends.WithLabelValues(attemptFirst)), qt.Equals, 1.0)
	c.Check(testutil.ToFloat64(l.metrics.sends.WithLabelValues(attemptFurther)), qt.Equals, 1.0)
}
