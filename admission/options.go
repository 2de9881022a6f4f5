package admission

import (
	"errors"

	"connectrpc.com/connect"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/bronzeturn/bronzeturn/failure"
)

// Faults of Options.
var (
	ErrNoName  = errors.New("name is missing")
	ErrNoOwner = errors.New("owner function is missing")
	ErrNoDial  = errors.New("dial function is missing")
)

// defaultSlotRate is the service rate of a slot before one was measured, in
// tokens per second.
const defaultSlotRate = 200

// Options are the parts of the daemon that admission needs.
type Options struct {
	// Name is the name of this daemon.
	Name string
	// Owner returns the preferred owner of a key, the same on daemons with the
	// same view of the fleet, and whether it is this daemon.
	Owner func(key string) (name string, self bool)
	// Dial returns the client and base URL of a live daemon. It reports false
	// for a daemon that is not live.
	Dial func(name string) (client connect.HTTPClient, url string, ok bool)
	// Reachable returns how many live daemons this one hears, itself included.
	// While it is below the live count, as in a cut between regions, a
	// coordinator hands out only the reachable daemons' part. Nil means all.
	Reachable func() int
	// SlotTokensPerSecond is the assumed service rate of a slot until requests
	// have been measured. Zero selects 200.
	SlotTokensPerSecond float64
	// Registerer receives the metrics. Nil drops them.
	Registerer prometheus.Registerer
	Log        zerolog.Logger
}

func (o Options) withDefaults() Options {
	if o.SlotTokensPerSecond <= 0 {
		o.SlotTokensPerSecond = defaultSlotRate
	}
	if o.Reachable == nil {
		o.Reachable = func() int { return int(^uint(0) >> 1) }
	}
	if o.Registerer == nil {
		o.Registerer = prometheus.NewRegistry()
	}
	return o
}

// validate returns every fault.
func (o *Options) validate() error {
	var faults []error
	if o.Name == "" {
		faults = append(faults, ErrNoName)
	}
	if o.Owner == nil {
		faults = append(faults, ErrNoOwner)
	}
	if o.Dial == nil {
		faults = append(faults, ErrNoDial)
	}
	return errors.Join(faults...)
}

// metrics counts what admission does.
type metrics struct {
	refusals       *prometheus.CounterVec
	failedReports  prometheus.Counter
	refusalsByCode map[failure.Code]prometheus.Counter
}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bronzeturn_admission_refusals_total",
			Help: "Requests refused before they ran, by failure code.",
		}, []string{"code"}),
		failedReports: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "bronzeturn_admission_failed_reports_total",
			Help: "Usage reports that got no answer from a coordinator.",
		}),
		refusalsByCode: make(map[failure.Code]prometheus.Counter),
	}
	r.MustRegister(m.refusals, m.failedReports)
	for _, code := range []failure.Code{
		failure.CodeLimitExceeded, failure.CodeSpendExceeded, failure.CodeNoCapacity, failure.CodeDeadlinePassed,
	} {
		m.refusalsByCode[code] = m.refusals.WithLabelValues(string(code))
	}
	return m
}

func (m *metrics) refused(code failure.Code) { m.refusalsByCode[code].Inc() }

func (m *metrics) reportFailed() { m.failedReports.Inc() }
