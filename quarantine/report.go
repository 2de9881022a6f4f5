package quarantine

import (
	"time"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// maxReportHashes bounds the hashes in one report.
const maxReportHashes = 200

// announceHarmless announces keys of completed requests to the other daemons.
func (q *Quarantine) announceHarmless(keys ...Hash) {
	if len(keys) == 0 {
		return
	}
	now := time.Now()
	q.mu.Lock()
	for _, key := range keys {
		q.pendingReport.Harmless = append(q.pendingReport.Harmless, key[:])
		q.pendingReport.HarmlessAgesMs = append(q.pendingReport.HarmlessAgesMs, uint64(q.evidence.CompletionAge(key, now).Milliseconds()))
	}
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
	ages := m.GetHarmlessAgesMs()
	for i, h := range decodeHashes(m.GetHarmless()) {
		var age time.Duration // Daemons of an earlier version do not send it.
		if i < len(ages) {
			age = time.Duration(ages[i]) * time.Millisecond
		}
		q.evidence.CompletedByPeer(h, now.Add(-age), now)
		q.release(h, "it completed at another daemon")
	}
	for _, h := range decodeHashes(m.GetCleared()) {
		q.clear(h, "cleared by an operator")
	}
	notify(q.wake)
}

// flush publishes the pending report.
func (q *Quarantine) flush() {
	q.mu.Lock()
	m := &bronzeturnv1.CrashReport{
		Engines: q.pendingReport.Engines, Harmless: q.pendingReport.Harmless, HarmlessAgesMs: q.pendingReport.HarmlessAgesMs,
		Cleared: q.pendingReport.Cleared,
	}
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
		var last *bronzeturnv1.CrashReport
		var ended *bronzeturnv1.EndedEngine
		for i, request := range e.GetRequests() {
			shared := e.GetShared()[i]
			p := part(1 + len(shared.GetKeys()))
			if p != last {
				last = p
				ended = &bronzeturnv1.EndedEngine{
					Id: e.GetId(), StartedMs: e.GetStartedMs(), Service: e.GetService(), Version: e.GetVersion(), Address: e.GetAddress(),
				}
				p.Engines = append(p.Engines, ended)
			}
			ended.Requests = append(ended.Requests, request)
			ended.Shared = append(ended.Shared, shared)
		}
	}
	for i, h := range m.GetHarmless() {
		p := part(1)
		p.Harmless = append(p.Harmless, h)
		p.HarmlessAgesMs = append(p.HarmlessAgesMs, m.GetHarmlessAgesMs()[i])
	}
	for _, h := range m.GetCleared() {
		p := part(1)
		p.Cleared = append(p.Cleared, h)
	}
	return parts
}
