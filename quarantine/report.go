package quarantine

import (
	"slices"
	"time"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// mostReported bounds the hashes of one report.
const mostReported = 200

// tellHarmless tells other daemons of requests that ended well.
func (q *Quarantine) tellHarmless(hashes ...Hash) {
	if len(hashes) == 0 {
		return
	}
	q.mu.Lock()
	q.report.Harmless = append(q.report.Harmless, bytesOf(hashes)...)
	q.mu.Unlock()
	rouse(q.wake)
}

// Heard takes in the report of another daemon.
func (q *Quarantine) Heard(m *bronzeturnv1.CrashReport, now time.Time) {
	for _, one := range m.GetEngines() {
		end := endOf(one, now)
		if q.Starts != nil {
			end.Engine = q.Starts.Told(end.Engine, now)
		}
		q.tellHarmless(q.evidence.Add(end, now)...)
		q.detector.Told(end.Engine, now)
	}
	for _, h := range hashesOf(m.GetHarmless()) {
		q.evidence.Cleared(h, now)
		q.release(h, "it ended well at another daemon")
	}
	for _, h := range hashesOf(m.GetCleared()) {
		q.forget(h, "cleared by an operator")
	}
	rouse(q.wake)
}

// flush publishes what other daemons have to be told.
func (q *Quarantine) flush() {
	q.mu.Lock()
	m := &bronzeturnv1.CrashReport{Engines: q.report.Engines, Harmless: q.report.Harmless, Cleared: q.report.Cleared}
	q.report.Reset()
	q.mu.Unlock()
	for _, part := range split(m) {
		q.Publish(part)
	}
}

// split divides a report into parts of a bounded size.
func split(m *bronzeturnv1.CrashReport) []*bronzeturnv1.CrashReport {
	var parts []*bronzeturnv1.CrashReport
	room := 0
	part := func(needed int) *bronzeturnv1.CrashReport {
		if len(parts) == 0 || room < needed {
			parts = append(parts, &bronzeturnv1.CrashReport{})
			room = mostReported
		}
		room -= needed
		return parts[len(parts)-1]
	}
	for _, e := range m.GetEngines() {
		for requests := range slices.Chunk(e.GetRequests(), mostReported) {
			p := part(len(requests))
			p.Engines = append(p.Engines, &bronzeturnv1.EndedEngine{
				Id: e.GetId(), StartedMs: e.GetStartedMs(), Service: e.GetService(), Version: e.GetVersion(),
				Address: e.GetAddress(), Requests: requests,
			})
		}
	}
	for _, h := range m.GetHarmless() {
		p := part(1)
		p.Harmless = append(p.Harmless, h)
	}
	for _, h := range m.GetCleared() {
		p := part(1)
		p.Cleared = append(p.Cleared, h)
	}
	return parts
}
