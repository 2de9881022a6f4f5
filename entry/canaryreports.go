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

// canaryPrefix is the prefix of the keys of canary verdicts in the gossip table.
const canaryPrefix = "canary/"

// publishVerdict publishes this daemon's verdict against a version through the gossip table,
// once: all daemons have to stop sending requests to the version immediately. The counts of
// the daemons are not part of it; they are summed over the tree by package tally.
func (i *introductions) publishVerdict(service string, intro *introduction, now time.Time) {
	report := intro.Report(now)
	if intro.verdictPublished || report.RollbackReason == "" {
		return
	}
	intro.verdictPublished = true
	report.Counts, report.Pinned = nil, nil
	data, err := proto.Marshal(encodeReport(report))
	if err != nil {
		i.daemon.log.Error().Err(err).Str("service", service).Msg("failed to encode verdict on an introduction")
		return
	}
	i.daemon.fleet.publish(canaryPrefix+service+"/"+i.daemon.Settings.Name, uint64(now.UnixMilli()), data)
}

// localReports returns what this daemon has counted for each introduction in progress and, for
// each introduction that has recently ended, the sessions that last ran on a stopped version.
func (i *introductions) localReports() map[string]*tally.Report {
	now := time.Now()
	reports := make(map[string]*tally.Report)
	for service, intro := range i.active() {
		reports[service] = encodeReport(i.withStopped(service, intro.Report(now), now))
	}
	for service, intro := range i.recentlyEnded(now) {
		r := intro.Report(now)
		r.Counts, r.Pinned = nil, nil
		reports[service] = encodeReport(i.withStopped(service, r, now))
	}
	return reports
}

// fleetName is the source name under which the summed counts of all other daemons are recorded.
const fleetName = "fleet"

// receiveFleetReport records the summed counts of the other daemons for a service.
func (i *introductions) receiveFleetReport(service string, others *tally.Report) {
	intro := i.get(service)
	if intro == nil {
		return
	}
	report, now := decodeReport(others), time.Now()
	intro.ApplyReport(fleetName, report, now)
	i.receiveStoppedSessions(service, report, now)
}

// get returns the introduction of a service, or nil if there is none.
func (i *introductions) get(service string) *introduction {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.byService[service]
}

// maxReportSessions is the maximum number of pinned and of stopped sessions in a report.
const maxReportSessions = 1024

// encodeReport converts a report to its wire format.
func encodeReport(r canary.Report) *tally.Report {
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

// decodeReport converts a report from its wire format.
func decodeReport(m *tally.Report) canary.Report {
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

// errNoDaemonInKey reports a table key without a daemon name.
var errNoDaemonInKey = errors.New("table key has no daemon name")

// receiveVerdict records the verdict of another daemon from the gossip table.
func (i *introductions) receiveVerdict(key string, _ uint64, value []byte) {
	service, daemon, err := splitCanaryKey(key)
	if err != nil || daemon == i.daemon.Settings.Name || len(value) == 0 {
		return
	}
	var m bronzeturnv1.CanaryReport
	if err := proto.Unmarshal(value, &m); err != nil {
		i.daemon.log.Warn().Err(err).Str("key", key).Msg("failed to decode the verdict of another daemon")
		return
	}
	if intro := i.get(service); intro != nil {
		intro.ApplyReport(daemon, decodeReport(&m), time.Now())
	}
}

// splitCanaryKey returns the service and the daemon that a verdict's key consists of.
func splitCanaryKey(key string) (service, daemon string, err error) {
	service, daemon, ok := strings.Cut(strings.TrimPrefix(key, canaryPrefix), "/")
	if !ok {
		return "", "", errNoDaemonInKey
	}
	return service, daemon, nil
}
