package quarantine

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/bronzeturn/bronzeturn/objectstore"
)

// write brings the store's records in line with the verdicts, as far as it is this daemon's
// turn, and tells whether something is left to do.
func (q *Quarantine) write(ctx context.Context, now time.Time) (more bool) {
	for _, c := range q.unwritten() {
		more = true
		if q.due(c.Hash, c.since, now) {
			q.create(ctx, c, now)
		}
	}
	for _, c := range q.outdated() {
		if q.Place(c.Hash) != 0 {
			continue
		}
		more = true
		if q.due(c.Hash, now, now) {
			q.change(ctx, c)
		}
	}
	return more
}

// unwritten are the convictions without a record.
func (q *Quarantine) unwritten() (list []conviction) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for h, c := range q.convicted {
		if _, ok := q.records[h]; !ok {
			list = append(list, *c)
		}
	}
	return list
}

// due tells whether it is this daemon's turn to write a record that is missing since a
// moment.
func (q *Quarantine) due(h Hash, since, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if now.Sub(q.tried[h]) < writePause || now.Sub(since) < time.Duration(max(q.Place(h), 0))*writePause {
		return false
	}
	q.tried[h] = now
	return true
}

// create writes a new record. One that is there already comes with the next list.
func (q *Quarantine) create(ctx context.Context, c conviction, now time.Time) {
	r := Record{Verdict: c.Verdict, RetriesLeft: lifeRetries, Daemon: q.Self}
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
		q.notWritten(r.Hash, err)
		return
	}
	q.Log.Info().Stringer("hash", r.Hash).Dur("after_ms", now.Sub(c.since)).Uint64("revision", object.Revision).Msg("record of a quarantine written")
	r.Revision = object.Revision
	q.keep(r)
}

// notWritten logs a write that failed, or whose answer did not come. It is tried again
// while the store's record differs.
func (q *Quarantine) notWritten(h Hash, err error) {
	q.Log.Warn().Err(err).Stringer("hash", h).Msg("record of a quarantine not written")
}

// keep takes in a record that this daemon has written.
func (q *Quarantine) keep(r Record) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.records[r.Hash].Revision < r.Revision {
		records := maps.Clone(q.records)
		records[r.Hash] = r
		q.records = records
		q.compile()
	}
}

// change is a record that the store should have in another form, or not at all.
type change struct {
	Record
	remove bool
}

// outdated are the records that have to change.
func (q *Quarantine) outdated() (list []change) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for h, r := range q.records {
		c := q.convicted[h]
		switch {
		case q.released[h]:
			list = append(list, change{r, true})
		case c != nil && len(c.Engines) > len(r.Engines), c != nil && r.Tied != c.Tied:
			r.Verdict = c.Verdict
			list = append(list, change{r, false})
		}
	}
	return list
}

// change brings one record in line. A failure is tried again at the next occasion: until
// then daemons that start hold the request back without need.
func (q *Quarantine) change(ctx context.Context, c change) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if c.remove {
		if err := q.Store.Delete(ctx, key(c.Hash), c.Revision); err != nil {
			q.notWritten(c.Hash, err)
			return
		}
		q.Log.Info().Stringer("hash", c.Hash).Msg("record of a quarantine removed")
		return
	}
	q.update(ctx, c.Record)
}

// update replaces a record.
func (q *Quarantine) update(ctx context.Context, r Record) bool {
	data, err := r.encode()
	if err != nil {
		q.Log.Error().Err(err).Stringer("hash", r.Hash).Msg("record not encoded")
		return false
	}
	object, err := q.Store.Update(ctx, key(r.Hash), data, r.Revision)
	if err != nil {
		q.notWritten(r.Hash, err)
		return false
	}
	q.Log.Info().Stringer("hash", r.Hash).Bool("tied", r.Tied).Int("retries_left", r.RetriesLeft).
		Uint64("revision", object.Revision).Msg("record of a quarantine changed")
	r.Revision = object.Revision
	q.keep(r)
	return true
}

// Retry asks for one of the few times that a request in quarantine may be sent again: when
// another one may be to blame, when the versions that it crashed serve no more, or after a
// long time. The store gives each of them to one daemon.
func (q *Quarantine) Retry(ctx context.Context, h Hash, now time.Time) bool {
	r := (*q.held.Load())[h]
	if r.Revision == 0 || r.RetriesLeft == 0 || now.Sub(r.Retried) < retryPause || !q.worthRetry(&r, now) {
		return false
	}
	r.RetriesLeft--
	r.Retried = now
	ctx, cancel := context.WithTimeout(ctx, retryTimeout)
	defer cancel()
	if !q.update(ctx, r) {
		return false
	}
	q.metrics.retried.Inc()
	return true
}

// worthRetry tells whether a request in quarantine may have become harmless.
func (q *Quarantine) worthRetry(r *Record, now time.Time) bool {
	if r.Tied || now.Sub(r.Last) > heldFor && now.Sub(r.Retried) > heldFor {
		return true
	}
	serving := q.Serving(r.Service)
	return len(serving) > 0 && !slices.ContainsFunc(serving, func(version string) bool { return slices.Contains(r.Versions, version) })
}

// Listed takes in the records of the store as of a revision, one call at a time.
func (q *Quarantine) Listed(records []Record, revision uint64) {
	next := make(map[Hash]Record, len(records))
	for _, r := range records {
		next[r.Hash] = r
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for h, r := range q.records {
		switch _, still := next[h]; {
		case r.Revision > revision || still && r.Revision > next[h].Revision:
			next[h] = r // This daemon has written it since.
		case !still:
			q.removed(h)
		}
	}
	for h, r := range next {
		if _, known := q.records[h]; !known {
			q.Log.Info().Stringer("hash", h).Str("service", r.Service).Strs("engines", r.Engines).Str("daemon", r.Daemon).
				Int("retries_left", r.RetriesLeft).Uint64("revision", r.Revision).Msg("request is in quarantine by the store")
		}
	}
	q.records = next
	q.compile()
}

// removed takes in that a record is gone from the store. The caller holds mu.
func (q *Quarantine) removed(h Hash) {
	if !q.released[h] {
		q.evidence.Forget(h) // An operator has removed it.
		q.Log.Info().Stringer("hash", h).Str("reason", "its record was removed").Msg("request released from quarantine")
	}
	delete(q.released, h)
	delete(q.convicted, h)
	delete(q.tried, h)
}
