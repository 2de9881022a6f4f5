package entry

import (
	"errors"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bronzeturn/bronzeturn/canary"
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/tally"
)

// canaryPrefix begins the table keys of verdicts.
const canaryPrefix = "canary/"

// tellVerdict floods this daemon's verdict against a version, once: all daemons have to
// stop sending to it at once. What they count is added up over the tree.
func (i *introductions) tellVerdict(service string, known *introduction, now time.Time) {
	report := known.Report(now)
	if known.told || report.RollbackReason == "" {
		return
	}
	known.told = true
	report.Counts, report.Pinned = nil, nil
	data, err := proto.Marshal(reportMessage(report))
	if err != nil {
		i.daemon.log.Error().Err(err).Str("service", service).Msg("verdict not encoded")
		return
	}
	i.daemon.fleet.publish(canaryPrefix+service+"/"+i.daemon.Settings.Name, uint64(now.UnixMilli()), data)
}

// counted returns what this daemon has counted of each introduction in progress, and the
// sessions left over by those that have just ended.
func (i *introductions) counted() map[string]*tally.Report {
	now := time.Now()
	reports := make(map[string]*tally.Report)
	for service, known := range i.active() {
		reports[service] = reportMessage(i.withStopped(service, known.Report(now), now))
	}
	for service, known := range i.settling(now) {
		r := known.Report(now)
		r.Counts, r.Pinned = nil, nil
		reports[service] = reportMessage(i.withStopped(service, r, now))
	}
	return reports
}

// fleetName stands for all other daemons together.
const fleetName = "fleet"

// othersCounted takes in what the other daemons have counted of a service.
func (i *introductions) othersCounted(service string, others *tally.Report) {
	known := i.known(service)
	if known == nil {
		return
	}
	report, now := reportOf(others), time.Now()
	known.ApplyReport(fleetName, report, now)
	i.heardStopped(service, report, now)
}

// known returns the introduction of a service, nil for none.
func (i *introductions) known(service string) *introduction {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.byService[service]
}

// maxReportSessions bounds the sessions in a report.
const maxReportSessions = 1024

// reportMessage encodes a report.
func reportMessage(r canary.Report) *tally.Report {
	m := &tally.Report{Target: r.Target, Order: r.Order, AgeMs: uint64(max(r.Age.Milliseconds(), 0)), Condemned: r.RollbackReason}
	m.HeldSessions = r.Pinned[:min(len(r.Pinned), maxReportSessions)]
	for _, s := range r.Stopped[:min(len(r.Stopped), maxReportSessions)] {
		m.StoppedSessions = append(m.StoppedSessions, &bronzeturnv1.StoppedSession{Session: s.Session, EndedMs: int32(s.Ended.Milliseconds())})
	}
	for key, c := range r.Counts {
		m.Counts = append(m.Counts, &bronzeturnv1.CanaryCount{
			Route: key.Route, Trial: key.Trial, Pace: key.Pace, Answers: c.Answers, Bad: c.Bad, Slow: c.Slow,
			LogLatencySum: c.LogLatencySum, LogLatencySquares: c.LogLatencySquares, Latencies: c.Latencies,
		})
	}
	return m
}

// reportOf decodes a report.
func reportOf(m *tally.Report) canary.Report {
	r := canary.Report{
		Order: m.GetOrder(), Target: m.GetTarget(), Age: time.Duration(m.GetAgeMs()) * time.Millisecond,
		Counts: make(map[canary.CountKey]canary.Count), Pinned: m.GetHeldSessions(), RollbackReason: m.GetCondemned(),
	}
	for _, s := range m.GetStoppedSessions() {
		r.Stopped = append(r.Stopped, canary.StoppedSession{Session: s.GetSession(), Ended: time.Duration(s.GetEndedMs()) * time.Millisecond})
	}
	for _, c := range m.GetCounts() {
		r.Counts[canary.CountKey{Route: c.GetRoute(), Trial: c.GetTrial(), Pace: c.GetPace()}] = canary.Count{
			Answers: c.GetAnswers(), Bad: c.GetBad(), Slow: c.GetSlow(), LogLatencySum: c.GetLogLatencySum(), LogLatencySquares: c.GetLogLatencySquares(),
			Latencies: c.GetLatencies(),
		}
	}
	return r
}

// errShortKey reports a table key without a daemon's name.
var errShortKey = errors.New("key names no daemon")

// heard takes in the verdict of another daemon.
func (i *introductions) heard(key string, _ uint64, value []byte) {
	service, daemon, err := splitCanaryKey(key)
	if err != nil || daemon == i.daemon.Settings.Name || len(value) == 0 {
		return
	}
	var m bronzeturnv1.CanaryReport
	if err := proto.Unmarshal(value, &m); err != nil {
		i.daemon.log.Warn().Err(err).Str("key", key).Msg("verdict of a daemon not read")
		return
	}
	if known := i.known(service); known != nil {
		known.ApplyReport(daemon, reportOf(&m), time.Now())
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
