package entry

import (
	"errors"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bronzeturn/bronzeturn/canary"
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// canaryPrefix begins the table keys of reports.
const canaryPrefix = "canary/"

// reportInterval is the least time between two reports of a daemon, and
// reportPerDaemon what each daemon of the fleet adds to it, so that reports pass
// through the table as fast as they are made.
const (
	reportInterval  = 300 * time.Millisecond
	reportPerDaemon = 20 * time.Millisecond
)

// report tells the other daemons what this one has seen.
func (i *introductions) report(service string, known *introduction, now time.Time) {
	if now.Sub(known.reported) < reportInterval+time.Duration(i.daemon.fleet.Live())*reportPerDaemon {
		return
	}
	known.reported = now
	known.version++
	key := canaryPrefix + service + "/" + i.daemon.Settings.Name
	i.daemon.fleet.publish(key, known.version, encodeReport(known.Report(now)))
}

// maxReportSessions bounds the sessions in a report.
const maxReportSessions = 1024

// encodeReport writes a report for the table.
func encodeReport(r canary.Report) []byte {
	m := &bronzeturnv1.CanaryReport{Target: r.Target, Order: r.Order, AgeMs: uint64(max(r.Age.Milliseconds(), 0)), Condemned: r.Condemned}
	m.HeldSessions = r.Held[:min(len(r.Held), maxReportSessions)]
	for key, c := range r.Counts {
		m.Counts = append(m.Counts, &bronzeturnv1.CanaryCount{
			Route: key.Route, Trial: key.Trial, Pace: key.Pace, Answers: c.Answers, Bad: c.Bad, Slow: c.Slow,
			LogLatencySum: c.LogLatencySum, LogLatencySquares: c.LogLatencySquares, Latencies: c.Latencies,
		})
	}
	data, err := proto.Marshal(m)
	if err != nil {
		return nil // Only a message of a wrong type can't be encoded.
	}
	return data
}

// errShortKey reports a table key without a daemon's name.
var errShortKey = errors.New("key names no daemon")

// heard takes in the report of another daemon.
func (i *introductions) heard(key string, _ uint64, value []byte) {
	service, daemon, err := splitCanaryKey(key)
	if err != nil || daemon == i.daemon.Settings.Name || len(value) == 0 {
		return
	}
	var m bronzeturnv1.CanaryReport
	if err := proto.Unmarshal(value, &m); err != nil {
		i.daemon.log.Warn().Err(err).Str("key", key).Msg("report of a daemon not read")
		return
	}
	r := canary.Report{
		Order: m.GetOrder(), Target: m.GetTarget(), Age: time.Duration(m.GetAgeMs()) * time.Millisecond,
		Counts: make(map[canary.CountKey]canary.Count), Held: m.GetHeldSessions(), Condemned: m.GetCondemned(),
	}
	for _, c := range m.GetCounts() {
		r.Counts[canary.CountKey{Route: c.GetRoute(), Trial: c.GetTrial(), Pace: c.GetPace()}] = canary.Count{
			Answers: c.GetAnswers(), Bad: c.GetBad(), Slow: c.GetSlow(), LogLatencySum: c.GetLogLatencySum(), LogLatencySquares: c.GetLogLatencySquares(),
			Latencies: c.GetLatencies(),
		}
	}
	i.mu.Lock()
	known := i.byService[service]
	i.mu.Unlock()
	if known != nil {
		known.Heard(daemon, r, time.Now())
	}
}

// splitCanaryKey returns the service and the daemon of a report's key.
func splitCanaryKey(key string) (service, daemon string, err error) {
	service, daemon, ok := strings.Cut(strings.TrimPrefix(key, canaryPrefix), "/")
	if !ok {
		return "", "", errShortKey
	}
	return service, daemon, nil
}
