package entry

import (
	"strings"
	"time"
)

// leavingPrefix is the key prefix in the gossip table for engines that have stated in answers that
// they leave, by the key of the engine.
const leavingPrefix = "leaving/"

const (
	maxLeavingEntries = 8192
	// leavingTTL exceeds the time in which an engine that leaves ends.
	leavingTTL = 2 * time.Minute
)

// engineLeaves removes an engine that has stated in an answer that it leaves, and tells the other
// daemons.
func (d *Daemon) engineLeaves(engine string) {
	if d.recordLeaving(engine, false) {
		d.fleet.publish(leavingPrefix+engine, 1, []byte{1})
	}
}

// receiveLeaving removes an engine that has stated to another daemon that it leaves. Expired
// entries have no value and say nothing.
func (f *fleet) receiveLeaving(key string, _ uint64, value []byte) {
	if len(value) > 0 {
		f.daemon.recordLeaving(strings.TrimPrefix(key, leavingPrefix), true)
	}
}

// recordLeaving removes an engine that has stated that it leaves, to this daemon or to another
// one, and reports whether that was unknown.
func (d *Daemon) recordLeaving(engine string, fromDaemon bool) bool {
	unknown := d.engines.Leave(engine, time.Now())
	if unknown {
		d.log.Info().Str("engine", engine).Bool("from_daemon", fromDaemon).Msg("engine states that it leaves")
	}
	return unknown
}
