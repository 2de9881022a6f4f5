package quarantine

import (
	"time"
)

// judge takes in what the evidence says now.
func (q *Quarantine) judge(now time.Time) {
	verdicts := make(map[Hash]Verdict)
	for _, v := range q.evidence.Judge(now) {
		verdicts[v.Hash] = v
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	changed := false
	for h, v := range verdicts {
		known := q.convicted[h]
		if known == nil || known.Tied != v.Tied {
			changed = true
			q.convict(v, now)
			// Sends under way that wait in an engine's queue must not come to run.
			defer q.endSends(v)
			continue
		}
		known.Verdict = v
	}
	for h := range q.convicted {
		if _, still := verdicts[h]; !still && q.evidence.Ends(h) >= Conviction {
			changed = q.releaseLocked(h, "another request explains the ends") || changed
		}
	}
	if changed {
		q.compile()
	}
}

// convict notes a verdict that is new or has changed. The caller holds mu.
func (q *Quarantine) convict(v Verdict, now time.Time) {
	since := now
	if known := q.convicted[v.Hash]; known != nil {
		since = known.since
	}
	q.convicted[v.Hash] = &conviction{Verdict: v, since: since}
	delete(q.released, v.Hash)
	q.Log.Warn().Stringer("hash", v.Hash).Str("service", v.Service).Strs("versions", v.Versions).Strs("engines", v.Engines).
		Bool("tied", v.Tied).Dur("first_age_ms", now.Sub(v.First)).Dur("last_age_ms", now.Sub(v.Last)).
		Msg("request put into quarantine")
}

// endSends ends the sends in progress of a request that is surely to blame. It must be
// called after compile, so that no send can begin unseen.
func (q *Quarantine) endSends(v Verdict) {
	if v.Tied {
		return
	}
	if ended := q.sends.end(v.Hash); ended > 0 {
		q.Log.Info().Stringer("hash", v.Hash).Int("sends", ended).Msg("sends of a request in quarantine ended")
	}
}

// release lets a request go.
func (q *Quarantine) release(h Hash, reason string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.releaseLocked(h, reason) {
		q.compile()
	}
}

// releaseLocked lets a request go and tells whether it was held. The caller holds mu and
// calls compile after it.
func (q *Quarantine) releaseLocked(h Hash, reason string) bool {
	_, recorded := q.records[h]
	_, known := q.convicted[h]
	if recorded && !q.released[h] {
		q.released[h] = true
	} else if !known {
		return false
	}
	delete(q.convicted, h)
	q.Log.Info().Stringer("hash", h).Str("reason", reason).Msg("request released from quarantine")
	return true
}

// forget drops all that is held against a request.
func (q *Quarantine) forget(h Hash, reason string) {
	q.evidence.Forget(h)
	q.release(h, reason)
}

// compile replaces what Held goes by, and has the records looked at. The caller holds mu.
func (q *Quarantine) compile() {
	rouse(q.toWrite)
	held := make(map[Hash]Record, len(q.records)+len(q.convicted))
	for h, r := range q.records {
		if !q.released[h] {
			held[h] = r
		}
	}
	for h, c := range q.convicted {
		if _, recorded := held[h]; !recorded {
			held[h] = Record{Verdict: c.Verdict}
		}
	}
	q.held.Store(&held)
}
