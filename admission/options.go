package admission

import (
	"errors"

	"connectrpc.com/connect"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/bronzeturn/bronzeturn/failure"
)

// Errors for missing fields of Options.
var (
	ErrNoName  = errors.New("name is missing")
	ErrNoOwner = errors.New("owner function is missing")
	ErrNoDial  = errors.New("dial function is missing")
)

// defaultSlotRate is the assumed service rate of a slot until one has been
// measured, in tokens per second.
const defaultSlotRate = 200

// Options are the dependencies and settings of a Controller.
type Options struct {
	// Name is the name of this daemon.
	Name string
	// Owner returns the owner of a key and whether it is this daemon. Daemons with
	// the same view of the fleet must get the same owner.
	Owner func(key string) (name string, self bool)
	// Dial returns the client and base URL of a live daemon. It reports false
	// for a daemon that is not live.
	Dial func(name string) (client connect.HTTPClient, url string, ok bool)
	// Reachable returns how many live daemons this one can reach, itself included.
	// While it is below the live count, as in a network partition between regions,
	// a coordinator grants only the part of the reachable daemons. Nil means all.
	Reachable func() int
	// SlotTokensPerSecond is the assumed service rate of a slot until requests
	// have been measured. Zero selects 200.
	SlotTokensPerSecond float64
	// Registerer receives the metrics. Nil discards them.
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

// validate returns an error that joins every fault.
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

// metrics holds the counters of admission.
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
