package bronzeturn

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"time"

	"github.com/bronzeturn/bronzeturn/backoff"
	"github.com/bronzeturn/bronzeturn/logging"
	"github.com/bronzeturn/bronzeturn/objectstore"
	"github.com/bronzeturn/bronzeturn/quarantine"
)

const (
	// recordsInterval is the mean time between two listings of the records. In between, a
	// daemon learns of new records from the crash reports of others, which expire only after a
	// longer time.
	recordsInterval = 4 * time.Minute
	// recordsMaxRetryDelay bounds the delay after a failed listing.
	recordsMaxRetryDelay = 10 * time.Second
	// recordsTimeout bounds one listing.
	recordsTimeout = 5 * time.Second
	// recordsPageSize is the maximum number of records per call of the store.
	recordsPageSize = 256
)

// requestQuarantine connects the quarantine to the daemon: it exchanges crash reports with
// other daemons and reads the records from the store.
type requestQuarantine struct {
	*quarantine.Quarantine
	daemon *Daemon
	// listAttempted is set after the first attempt to list the records, even a failed one.
	listAttempted atomic.Bool
}

// newQuarantine returns a quarantine that holds no records yet.
func newQuarantine(d *Daemon) *requestQuarantine {
	log := logging.Part(d.log, "quarantine")
	publish := func(key string, version uint64, value []byte) {
		if err := d.fleet.members.Table().Publish(key, version, value); err != nil {
			log.Warn().Err(err).Str("key", key).Msg("crash report not published")
		}
	}
	return &requestQuarantine{daemon: d, Quarantine: quarantine.New(quarantine.Options{
		Self:    d.settings.GetName(),
		Dial:    quarantine.DialWith(d.dialBackend),
		Publish: quarantine.PublishWith(d.settings.GetName(), publish, log),
		Store:   d.platform.store,
		Rank:    func(h quarantine.Hash) int { return d.fleet.members.View().Rank(quarantine.RankKey(h)) },
		Serving: func(string) []string { return d.versionsInUse() },
		Starts:  quarantine.NewStartTracker(),
		Log:     log, Registerer: d.options.Registry,
	})}
}

// versionsInUse returns the versions that are not withdrawn.
func (d *Daemon) versionsInUse() (versions []string) {
	tables := d.tables.Load()
	if tables == nil {
		return nil
	}
	for _, v := range tables.Snapshot.Register().GetVersions() {
		if _, withdrawn := tables.Snapshot.Withdrawal(v.GetName()); !withdrawn {
			versions = append(versions, v.GetName())
		}
	}
	return versions
}

// start subscribes to crash reports and starts the background loops.
func (q *requestQuarantine) start(d *Daemon) {
	d.fleet.members.Table().Subscribe(quarantine.TablePrefix, q.receiveReport)
	d.goLoop("quarantine", q.Run)
	d.goLoop("quarantine records", q.RunWrites)
	d.goLoop("quarantine lists", q.followRecords)
}

// receiveReport applies the crash report of another daemon. It ignores those of this daemon.
func (q *requestQuarantine) receiveReport(key string, version uint64, value []byte) {
	if !strings.HasPrefix(key, quarantine.TablePrefix+q.Self+"/") {
		q.ReceiveEntry(key, version, value)
	}
}

// followRecords lists the records of the store periodically until ctx ends.
func (q *requestQuarantine) followRecords(ctx context.Context) error {
	random := q.daemon.rand(randQuarantine)
	retryDelays := &backoff.Backoff{Base: recordsTimeout / 10, Max: recordsMaxRetryDelay, Random: random}
	for {
		delay := jitter(recordsInterval, random)
		if err := q.listRecords(ctx); err != nil {
			q.Log.Warn().Err(err).Msg("quarantine records could not be listed")
			delay = retryDelays.Next()
		} else {
			retryDelays.Reset()
		}
		q.listAttempted.Store(true)
		if backoff.Sleep(ctx, delay) != nil {
			return nil
		}
	}
}

// jitter returns a random duration between 0.5 and 1.5 times the mean.
func jitter(mean time.Duration, random *rand.Rand) time.Duration {
	return mean/2 + time.Duration(random.Int64N(int64(mean)))
}

// listRecords replaces the known records with those in the store. It skips records that
// cannot be decoded.
func (q *requestQuarantine) listRecords(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, recordsTimeout)
	defer cancel()
	var records []quarantine.Record
	prefix, after, newest := quarantine.Kind+"/", "", uint64(0)
	for {
		page, err := q.daemon.platform.store.List(ctx, prefix, after, recordsPageSize)
		if err != nil {
			return err
		}
		for _, o := range page {
			newest, after = max(newest, o.Revision), o.Key
			if r, ok := q.decode(prefix, o); ok {
				records = append(records, r)
			}
		}
		if len(page) < recordsPageSize {
			q.ApplyRecords(records, newest)
			return nil
		}
	}
}

// decode decodes a record and logs a failure.
func (q *requestQuarantine) decode(prefix string, o objectstore.Object) (quarantine.Record, bool) {
	r, err := quarantine.DecodeRecord(strings.TrimPrefix(o.Key, prefix), o.Revision, o.Value)
	if err != nil {
		q.Log.Error().Err(err).Str("key", o.Key).Uint64("revision", o.Revision).Msg("record of a quarantine not read")
	}
	return r, err == nil
}
