package quarantine

import (
	"slices"
	"time"
)

// evaluate applies the verdicts that the evidence gives now.
func (q *Quarantine) evaluate(now time.Time) {
	verdicts := make(map[Hash]Verdict)
	for _, v := range q.evidence.Evaluate(now) {
		verdicts[v.Hash] = v
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	changed := false
	for h, v := range verdicts {
		known := q.verdicts[h]
		if known == nil || known.Tied != v.Tied || !slices.Equal(known.With, v.With) {
			changed = true
			q.addVerdict(v, now)
			// Sends that still wait in an engine's queue must not be started.
			defer q.cancelSends(v)
			continue
		}
		known.Verdict = v
	}
	for h := range q.verdicts {
		if _, still := verdicts[h]; !still && q.evidence.Crashes(h) >= CrashThreshold {
			changed = q.releaseLocked(h, "another request explains the ends") || changed
		}
	}
	if changed {
		q.rebuildHeld()
	}
}

// addVerdict records a new or changed verdict. The caller holds mu.
func (q *Quarantine) addVerdict(v Verdict, now time.Time) {
	since := now
	if known := q.verdicts[v.Hash]; known != nil {
		since = known.since
	}
	q.verdicts[v.Hash] = &activeVerdict{Verdict: v, since: since}
	delete(q.released, v.Hash)
	q.Log.Warn().Stringer("hash", v.Hash).Bool("shared", v.Shared).Strs("with", Strings(v.With)).Str("service", v.Service).Strs("versions", v.Versions).Strs("engines", v.Engines).
		Bool("tied", v.Tied).Dur("first_age_ms", now.Sub(v.First)).Dur("last_age_ms", now.Sub(v.Last)).
		Msg("request put into quarantine")
}

// cancelSends cancels the sends in progress of a request whose verdict is not tied. It must be
// called after rebuildHeld, so that no send can begin unnoticed.
func (q *Quarantine) cancelSends(v Verdict) {
	if v.Tied {
		return
	}
	if cancelled := q.sends.cancelAll(&v); cancelled > 0 {
		q.Log.Info().Stringer("hash", v.Hash).Int("sends", cancelled).Msg("sends of a request in quarantine ended")
	}
}

// release releases a request from quarantine.
func (q *Quarantine) release(h Hash, reason string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.releaseLocked(h, reason) {
		q.rebuildHeld()
	}
}

// releaseLocked releases a request from quarantine and reports whether it was held. The caller
// holds mu and calls rebuildHeld afterwards.
func (q *Quarantine) releaseLocked(h Hash, reason string) bool {
	_, recorded := q.records[h]
	_, known := q.verdicts[h]
	if recorded && !q.released[h] {
		q.released[h] = true
	} else if !known {
		return false
	}
	delete(q.verdicts, h)
	q.Log.Info().Stringer("hash", h).Str("reason", reason).Msg("request released from quarantine")
	return true
}

// clear discards the crashes that requests with a key are held for and releases them.
func (q *Quarantine) clear(h Hash, reason string) {
	q.evidence.ForgetCrashes(h)
	q.release(h, reason)
}

// rebuildHeld replaces the set of held requests and wakes the writer of records. The caller
// holds mu.
func (q *Quarantine) rebuildHeld() {
	notify(q.wakeWrites)
	held := make(map[Hash]Record, len(q.records)+len(q.verdicts))
	for h, r := range q.records {
		if !q.released[h] {
			held[h] = r
		}
	}
	for h, v := range q.verdicts {
		if _, recorded := held[h]; !recorded {
			held[h] = Record{Verdict: v.Verdict}
		}
	}
	q.held.Store(&held)
}
