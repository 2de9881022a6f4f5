package entry

import (
	"slices"

	"github.com/bronzeturn/bronzeturn/follow"
	"github.com/bronzeturn/bronzeturn/quarantine"
	"github.com/bronzeturn/bronzeturn/revision"
)

// newQuarantine returns the quarantine, which withholds requests that crash engines.
func newQuarantine(d *Daemon) *quarantine.Quarantine {
	return quarantine.New(quarantine.Options{
		Self:    d.Settings.Name,
		Dial:    quarantine.DialWith(d.relay.Dial),
		Publish: quarantine.PublishWith(d.Settings.Name, d.fleet.publish, d.log),
		Store:   d.Store,
		Rank:    func(h quarantine.Hash) int { return d.fleet.members.View().Rank(quarantine.RankKey(h)) },
		Serving: d.versionsServing,
		Log:     d.logger("quarantine"), Registerer: d.registry,
	})
}

// quarantineChanged applies the quarantine records in the store. A record that cannot be decoded
// is logged and ignored; the others are applied.
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
			d.log.Error().Err(err).Str("key", item.Name).Uint64("revision", revision.Counter(item.Revision)).Msg("record of a quarantine not read")
		}
	}
	d.quarantine.ApplyRecords(records, u.Snapshot.Revision)
}

// versionsServing returns the versions of a service whose engines receive requests.
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
