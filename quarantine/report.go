package quarantine

import (
	"slices"
	"time"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// maxReportHashes bounds the hashes in one report.
const maxReportHashes = 200

// announceHarmless announces completed requests to the other daemons.
func (q *Quarantine) announceHarmless(hashes ...Hash) {
	if len(hashes) == 0 {
		return
	}
	q.mu.Lock()
	q.pendingReport.Harmless = append(q.pendingReport.Harmless, encodeHashes(hashes)...)
	q.mu.Unlock()
	notify(q.wake)
}

// ApplyReport applies the report of another daemon.
func (q *Quarantine) ApplyReport(m *bronzeturnv1.CrashReport, now time.Time) {
	for _, one := range m.GetEngines() {
		crash := decodeCrash(one, now)
		if q.Starts != nil {
			crash.Engine = q.Starts.RecordReported(crash.Engine, now)
		}
		q.announceHarmless(q.evidence.Add(crash, now)...)
		q.detector.PeerReported(crash.Engine, now)
	}
	for _, h := range decodeHashes(m.GetHarmless()) {
		q.evidence.CompletedByPeer(h, now)
		q.release(h, "it completed at another daemon")
	}
	for _, h := range decodeHashes(m.GetCleared()) {
		q.forget(h, "cleared by an operator")
	}
	notify(q.wake)
}

// flush publishes the pending report.
func (q *Quarantine) flush() {
	q.mu.Lock()
	m := &bronzeturnv1.CrashReport{Engines: q.pendingReport.Engines, Harmless: q.pendingReport.Harmless, Cleared: q.pendingReport.Cleared}
	q.pendingReport.Reset()
	q.mu.Unlock()
	for _, part := range split(m) {
		q.Publish(part)
	}
}

// split divides a report into parts of at most maxReportHashes hashes.
func split(m *bronzeturnv1.CrashReport) []*bronzeturnv1.CrashReport {
	var parts []*bronzeturnv1.CrashReport
	room := 0
	part := func(needed int) *bronzeturnv1.CrashReport {
		if len(parts) == 0 || room < needed {
			parts = append(parts, &bronzeturnv1.CrashReport{})
			room = maxReportHashes
		}
		room -= needed
		return parts[len(parts)-1]
	}
	for _, e := range m.GetEngines() {
		for requests := range slices.Chunk(e.GetRequests(), maxReportHashes) {
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
