package quarantine

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/bronzeturn/bronzeturn/objectstore"
	"github.com/bronzeturn/bronzeturn/revision"
)

// writeRecords brings the store's records in line with the verdicts, as far as it is this
// daemon's turn, and reports whether there is more to do.
func (q *Quarantine) writeRecords(ctx context.Context, now time.Time) (more bool) {
	for _, v := range q.missingRecords() {
		more = true
		if q.writeDue(v.Hash, v.since, now) {
			q.createRecord(ctx, Record{Verdict: v.Verdict, RetriesLeft: maxRetries, Daemon: q.Self}, v.since, now)
		}
	}
	lost, since := q.lostRecords()
	for _, r := range lost {
		more = true
		if q.writeDue(r.Hash, since, now) {
			q.createRecord(ctx, r, since, now)
		}
	}
	for _, c := range q.staleRecords() {
		if q.Rank(c.Hash) != 0 {
			continue
		}
		more = true
		if q.writeDue(c.Hash, now, now) {
			q.applyChange(ctx, c)
		}
	}
	return more
}

// missingRecords returns the verdicts without a record.
func (q *Quarantine) missingRecords() (list []activeVerdict) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for h, v := range q.verdicts {
		if _, ok := q.records[h]; !ok {
			list = append(list, *v)
		}
	}
	return list
}

// lostRecords returns the records that a restored store lacks, and the time since which they have
// been missing.
func (q *Quarantine) lostRecords() (lost []Record, since time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, r := range q.records {
		if q.isLost(&r) && !q.released[r.Hash] {
			lost = append(lost, r)
		}
	}
	return lost, q.restoredAt
}

// isLost reports whether a record is of an earlier era than the store's. The caller holds mu.
func (q *Quarantine) isLost(r *Record) bool { return revision.Era(r.Revision) < q.era }

// writeDue reports whether it is this daemon's turn to write a record that has been missing
// since the given time.
func (q *Quarantine) writeDue(h Hash, since, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if now.Sub(q.lastWriteAttempt[h]) < writeStagger || now.Sub(since) < time.Duration(max(q.Rank(h), 0))*writeStagger {
		return false
	}
	q.lastWriteAttempt[h] = now
	return true
}

// createRecord writes a new record. If another daemon has written it already, it arrives with
// the next list of the store's records.
func (q *Quarantine) createRecord(ctx context.Context, r Record, since, now time.Time) {
	data, err := r.encode()
	if err != nil {
		q.Log.Error().Err(err).Stringer("hash", r.Hash).Msg("record not encoded")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	object, err := q.Store.Create(ctx, key(r.Hash), data)
	var conflict *objectstore.ConflictError
	if errors.As(err, &conflict) {
		return
	}
	if err != nil {
		q.logWriteFailure(r.Hash, err)
		return
	}
	q.Log.Info().Stringer("hash", r.Hash).Dur("after_ms", now.Sub(since)).Uint64("revision", revision.Counter(object.Revision)).Msg("record of a quarantine written")
	r.Revision = object.Revision
	q.applyWritten(r)
}

// logWriteFailure logs a write that failed or was not answered in time. Writes are repeated as
// long as the store's record differs.
func (q *Quarantine) logWriteFailure(h Hash, err error) {
	q.Log.Warn().Err(err).Stringer("hash", h).Msg("record of a quarantine not written")
}

// applyWritten applies a record that this daemon has written.
func (q *Quarantine) applyWritten(r Record) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.records[r.Hash].Revision < r.Revision {
		records := maps.Clone(q.records)
		records[r.Hash] = r
		q.records = records
		q.rebuildHeld()
	}
}

// recordChange is a record to update in the store, or to remove from it.
type recordChange struct {
	Record
	remove bool
}

// staleRecords returns the changes that the store's records need.
func (q *Quarantine) staleRecords() (list []recordChange) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for h, r := range q.records {
		v := q.verdicts[h]
		switch {
		case q.isLost(&r):
		case q.released[h]:
			list = append(list, recordChange{r, true})
		case v != nil && (len(v.Engines) > len(r.Engines) || r.Tied != v.Tied || !slices.Equal(r.With, v.With)):
			r.Verdict = v.Verdict
			list = append(list, recordChange{r, false})
		}
	}
	return list
}

// applyChange updates or removes one record. A failed change is repeated later; until then,
// daemons that start hold the request unnecessarily.
func (q *Quarantine) applyChange(ctx context.Context, c recordChange) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if c.remove {
		if err := q.Store.Delete(ctx, key(c.Hash), c.Revision); err != nil {
			q.logWriteFailure(c.Hash, err)
			return
		}
		q.Log.Info().Stringer("hash", c.Hash).Msg("record of a quarantine removed")
		return
	}
	q.updateRecord(ctx, c.Record)
}

// updateRecord replaces a record and reports whether it succeeded.
func (q *Quarantine) updateRecord(ctx context.Context, r Record) bool {
	data, err := r.encode()
	if err != nil {
		q.Log.Error().Err(err).Stringer("hash", r.Hash).Msg("record not encoded")
		return false
	}
	object, err := q.Store.Update(ctx, key(r.Hash), data, r.Revision)
	if err != nil {
		q.logWriteFailure(r.Hash, err)
		return false
	}
	q.Log.Info().Stringer("hash", r.Hash).Bool("tied", r.Tied).Int("retries_left", r.RetriesLeft).
		Uint64("revision", revision.Counter(object.Revision)).Msg("record of a quarantine changed")
	r.Revision = object.Revision
	q.applyWritten(r)
	return true
}

// Retry claims one of the few retries of a quarantined request. They are granted when another
// request may be the cause, when the versions that it crashed no longer serve, or after a long
// time. The conditional write to the store gives each retry to one daemon only.
func (q *Quarantine) Retry(ctx context.Context, h Hash, now time.Time) bool {
	r := (*q.held.Load())[h]
	if r.Revision == 0 || r.RetriesLeft == 0 || now.Sub(r.Retried) < minRetryInterval || !q.mayBeHarmless(&r, now) {
		return false
	}
	r.RetriesLeft--
	r.Retried = now
	ctx, cancel := context.WithTimeout(ctx, retryTimeout)
	defer cancel()
	if !q.updateRecord(ctx, r) {
		return false
	}
	q.metrics.retried.Inc()
	return true
}

// mayBeHarmless reports whether a quarantined request may be harmless by now.
func (q *Quarantine) mayBeHarmless(r *Record, now time.Time) bool {
	if r.Tied || now.Sub(r.Last) > holdPeriod && now.Sub(r.Retried) > holdPeriod {
		return true
	}
	serving := q.Serving(r.Service)
	return len(serving) > 0 && !slices.ContainsFunc(serving, func(version string) bool { return slices.Contains(r.Versions, version) })
}

// ApplyRecords applies the store's records as of a revision. Records that a restored store lacks stay
// in force and are written again. Calls must not overlap.
func (q *Quarantine) ApplyRecords(records []Record, at uint64) {
	next := make(map[Hash]Record, len(records))
	for _, r := range records {
		next[r.Hash] = r
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if era := revision.Era(at); era > q.era {
		q.era, q.restoredAt = era, time.Now()
	}
	for h, r := range q.records {
		switch _, still := next[h]; {
		case q.isLost(&r) && !still && !q.released[h]:
			next[h] = r
		case r.Revision > at || still && r.Revision > next[h].Revision:
			next[h] = r // This daemon wrote it after the list was taken.
		case !still:
			q.recordRemoved(h)
		}
	}
	for h, r := range next {
		if _, known := q.records[h]; !known {
			q.Log.Info().Stringer("hash", h).Bool("shared", r.Shared).Strs("with", Strings(r.With)).Str("service", r.Service).Strs("engines", r.Engines).Str("daemon", r.Daemon).
				Int("retries_left", r.RetriesLeft).Uint64("revision", revision.Counter(r.Revision)).Msg("request is in quarantine by the store")
		}
	}
	q.records = next
	q.rebuildHeld()
}

// recordRemoved handles a record that is gone from the store. The caller holds mu.
func (q *Quarantine) recordRemoved(h Hash) {
	if !q.released[h] {
		q.evidence.Forget(h) // It was removed by an operator.
		q.Log.Info().Stringer("hash", h).Str("reason", "its record was removed").Msg("request released from quarantine")
	}
	delete(q.released, h)
	delete(q.verdicts, h)
	delete(q.lastWriteAttempt, h)
}
