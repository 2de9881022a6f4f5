package entry

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bronzeturn/bronzeturn/follow"
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/quarantine"
)

// crashPrefix begins the table keys of reports about engines that ended.
const crashPrefix = "crash/"

// Bounds of these reports.
const (
	maxCrashReports     = 4096
	maxCrashReportBytes = 16 << 10
	crashReportTTL      = 10 * time.Minute
)

// newQuarantine returns what keeps requests that crash engines away from them.
func newQuarantine(d *Daemon) *quarantine.Quarantine {
	dial := engineDial.Dialer()
	var reports atomic.Uint64
	return quarantine.New(quarantine.Options{
		Self: d.Settings.Name,
		Dial: func(ctx context.Context, address string) error {
			conn, err := dial(ctx, "tcp", address)
			if err != nil {
				return err
			}
			return conn.Close()
		},
		Publish: func(m *bronzeturnv1.CrashReport) { d.fleet.tellCrashes(m, reports.Add(1)) },
		Store:   d.Store,
		Place: func(h quarantine.Hash) int {
			view := d.fleet.members.View()
			return slices.Index(view.Top(crashPrefix+h.String(), view.Live()), view.Self)
		},
		Serving: d.versionsServing,
		Log:     d.part("quarantine"), Registerer: d.registry,
	})
}

// tellCrashes floods a report. Each has a key of its own, so that none replaces another.
func (f *fleet) tellCrashes(m *bronzeturnv1.CrashReport, number uint64) {
	data, err := proto.Marshal(m)
	if err != nil {
		f.daemon.log.Error().Err(err).Msg("report of ended engines not encoded")
		return
	}
	now := uint64(time.Now().UnixMilli())
	f.publish(fmt.Sprintf("%s%s/%d-%d", crashPrefix, f.daemon.Settings.Name, now, number), now, data)
}

// heardCrashes takes in the report of another daemon, or one of this daemon's from before
// its start.
func (d *Daemon) heardCrashes(key string, _ uint64, value []byte) {
	if len(value) == 0 {
		return
	}
	var m bronzeturnv1.CrashReport
	if err := proto.Unmarshal(value, &m); err != nil {
		d.log.Warn().Err(err).Str("key", key).Msg("report of ended engines not read")
		return
	}
	d.quarantine.Heard(&m, time.Now())
}

// quarantineChanged takes in the records of the store. One that cannot be read holds no
// request; the others hold.
func (d *Daemon) quarantineChanged(u follow.Update) {
	var records []quarantine.Record
	for item := range u.Snapshot.All() {
		data, err := d.Documents.Value(item)
		if err == nil {
			var r quarantine.Record
			if r, err = quarantine.DecodeRecord(item.Name, item.Revision, data); err == nil {
				records = append(records, r)
			}
		}
		if err != nil {
			d.log.Error().Err(err).Str("key", item.Name).Uint64("revision", item.Revision).Msg("record of a quarantine not read")
		}
	}
	d.quarantine.Listed(records, u.Snapshot.Revision)
}

// versionsServing returns the versions of a service whose engines take work.
func (d *Daemon) versionsServing(service string) (versions []string) {
	t := d.tables.Load()
	if t == nil || t.Engines == nil {
		return nil
	}
	for _, e := range t.Engines.View.Engines {
		if e.Service == service && !slices.Contains(versions, e.Version) && len(d.assign(*e)) > 0 {
			versions = append(versions, e.Version)
		}
	}
	return versions
}
