package bronzeturn

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/bronzeturn/bronzeturn/backoff"
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/inventory"
	"github.com/bronzeturn/bronzeturn/logging"
	"github.com/bronzeturn/bronzeturn/objectstore"
	"github.com/bronzeturn/bronzeturn/quarantine"
)

// crashPrefix is the prefix of the table keys of crash reports.
const crashPrefix = "crash/"

// Bounds of crash reports in the table.
const (
	maxCrashReports     = 4096
	maxCrashReportBytes = 16 << 10
	crashReportTTL      = 10 * time.Minute
)

const (
	// recordsInterval is the mean time between two listings of the records. Convictions in
	// between arrive in crash reports, which outlive the interval.
	recordsInterval = 4 * time.Minute
	// recordsMaxRetryDelay bounds the delay after a failed listing.
	recordsMaxRetryDelay = 10 * time.Second
	// recordsTimeout bounds one listing, recordsPageSize the records per call.
	recordsTimeout  = 5 * time.Second
	recordsPageSize = 256
)

// requestQuarantine connects the quarantine to the daemon: it exchanges crash reports with
// other daemons and reads the records from the store.
type requestQuarantine struct {
	*quarantine.Quarantine
	starts *quarantine.StartTracker
	daemon *Daemon
	log    zerolog.Logger
	// listAttempted is set after the first attempt to list the records, even a failed one.
	listAttempted atomic.Bool
}

// newQuarantine returns a quarantine without records.
func newQuarantine(d *Daemon) *requestQuarantine {
	q := &requestQuarantine{starts: quarantine.NewStartTracker(), daemon: d, log: logging.Part(d.log, "quarantine")}
	var reports atomic.Uint64
	q.Quarantine = quarantine.New(quarantine.Options{
		Self: d.settings.GetName(),
		Dial: func(ctx context.Context, address string) error {
			conn, err := d.options.Dial(ctx, "tcp", address)
			if err != nil {
				return err
			}
			return conn.Close()
		},
		Publish: func(m *bronzeturnv1.CrashReport) { q.publishReport(m, reports.Add(1)) },
		Store:   d.platform.store,
		Place:   q.place,
		Serving: func(string) []string { return d.versionsInUse() },
		Starts:  q.starts,
		Log:     q.log, Registerer: d.options.Registry,
	})
	return q
}

// CurrentStart implements router.Quarantine.
func (q *requestQuarantine) CurrentStart(e inventory.Engine) inventory.Engine {
	return q.starts.Current(e)
}

// place returns this daemon's position in the order in which daemons write a record.
func (q *requestQuarantine) place(h quarantine.Hash) int {
	view := q.daemon.fleet.members.View()
	return slices.Index(view.Top(crashPrefix+h.String(), view.Live()), view.Self)
}

// versionsInUse returns the versions that are not withdrawn.
func (d *Daemon) versionsInUse() (versions []string) {
	tables := d.tables.Load()
	if tables == nil {
		return nil
	}
	for _, v := range tables.Snapshot.Register().GetVersions() {
		if _, withdrawn := tables.Snapshot.Withdrawn(v.GetName()); !withdrawn {
			versions = append(versions, v.GetName())
		}
	}
	return versions
}

// start subscribes to crash reports and starts the background loops.
func (q *requestQuarantine) start(d *Daemon) {
	d.fleet.members.Table().Subscribe(crashPrefix, q.receiveReport)
	d.goLoop("quarantine", q.Run)
	d.goLoop("quarantine records", q.RunWrites)
	d.goLoop("quarantine lists", q.followRecords)
}

// publishReport floods a report to the other daemons. Keys are unique, so that a report does
// not replace an earlier one.
func (q *requestQuarantine) publishReport(m *bronzeturnv1.CrashReport, number uint64) {
	data, err := proto.Marshal(m)
	if err != nil {
		q.log.Error().Err(err).Msg("report of ended engines not encoded")
		return
	}
	now := uint64(time.Now().UnixMilli())
	key := fmt.Sprintf("%s%s/%d-%d", crashPrefix, q.Self, now, number)
	if err := q.daemon.fleet.members.Table().Publish(key, now, data); err != nil {
		q.log.Warn().Err(err).Str("key", key).Msg("report of ended engines not published")
	}
}

// receiveReport applies a report of another daemon. It ignores deletions and the reports of
// this daemon.
func (q *requestQuarantine) receiveReport(key string, _ uint64, value []byte) {
	if len(value) == 0 || strings.HasPrefix(key, crashPrefix+q.Self+"/") {
		return
	}
	var m bronzeturnv1.CrashReport
	if err := proto.Unmarshal(value, &m); err != nil {
		q.log.Warn().Err(err).Str("key", key).Msg("report of ended engines not read")
		return
	}
	q.Heard(&m, time.Now())
}

// followRecords lists the records of the store periodically until ctx ends.
func (q *requestQuarantine) followRecords(ctx context.Context) error {
	random := q.daemon.rand(randQuarantine)
	retryDelays := &backoff.Backoff{Base: recordsTimeout / 10, Max: recordsMaxRetryDelay, Random: random}
	for {
		delay := jitter(recordsInterval, random)
		if err := q.listRecords(ctx); err != nil {
			q.log.Warn().Err(err).Msg("quarantine records could not be listed")
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

// listRecords replaces the known records by those in the store. Records that cannot be
// decoded are skipped.
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
			q.Listed(records, newest)
			return nil
		}
	}
}

// decode decodes a record and logs a failure.
func (q *requestQuarantine) decode(prefix string, o objectstore.Object) (quarantine.Record, bool) {
	r, err := quarantine.DecodeRecord(strings.TrimPrefix(o.Key, prefix), o.Revision, o.Value)
	if err != nil {
		q.log.Error().Err(err).Str("key", o.Key).Uint64("revision", o.Revision).Msg("record of a quarantine not read")
	}
	return r, err == nil
}
