package entry

import (
	"context"
	"math"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bronzeturn/bronzeturn/backpressure"
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// limitPrefix is the key prefix in the gossip table for the request limits that engines state, by
// the key of the engine.
const limitPrefix = "limit/"

const (
	maxLimitEntries = 8192
	// limitTTL is how long a daemon that joins the fleet learns of a limit from the table. The
	// next answer that states the limit after that time renews the entry.
	limitTTL = 2 * time.Minute
	// minLimitChange is the relative change of a limit from which on the other daemons are told.
	minLimitChange = 0.1
)

// newBackpressure returns what engines ask of their senders in their answers.
func newBackpressure(d *Daemon) *backpressure.Backpressure {
	log := d.logger("backpressure")
	limits := backpressure.NewLimits(backpressure.Options{
		Daemons: d.sharingDaemons, Permit: d.requestPermit, Random: d.rand(randLimits), Share: d.fleet.shareLimit, Log: log, Registerer: d.registry,
	})
	brittle := backpressure.NewBrittle(backpressure.BrittleOptions{
		Engine: d.serviceAndSlots, Reserve: d.reserveSlot, Refused: func(engine string) { d.shared.occupancy.RequestRefused(engine) }, Share: d.fleet.shareBrittle,
		LearnsAtOnce: func() bool { return time.Since(d.started) >= aloneTime }, Log: log, Registerer: d.registry,
	})
	return &backpressure.Backpressure{Limits: limits, Brittle: brittle}
}

// serviceAndSlots returns the service and the number of slots of an engine, or "" if it is unknown.
func (d *Daemon) serviceAndSlots(engine string) (service string, slots int) {
	e, _ := d.engines.View().Engine(engine)
	return e.Service, e.Slots
}

// reserveSlot asks the keeper of an engine for a slot.
func (d *Daemon) reserveSlot(engine string, slots int, tolerated float64) (granted bool, retryAfter time.Duration) {
	grant := d.shared.occupancy.Reserve(context.Background(), engine, slots, tolerated)
	return grant.Granted, grant.RetryAfter
}

// requestPermit asks the keeper of an engine for a permit to send one request.
func (d *Daemon) requestPermit(engine string, perSecond float64) (granted bool, retryAfter time.Duration, decided bool) {
	grant, decided := d.shared.occupancy.Permit(context.Background(), engine, perSecond)
	return grant.Granted, grant.RetryAfter, decided
}

// requestsInProgress returns the load of this daemon's requests at an engine. Reserved slots count.
func (d *Daemon) requestsInProgress(engine string) (requests, tokens int64) {
	requests, tokens = d.balancer.OwnLoad(engine)
	return requests + int64(d.limits.Brittle.Unsent(engine, time.Now())), tokens
}

// isUsed reports whether an engine may get requests.
func (d *Daemon) isUsed(engine string) bool {
	_, used := d.engines.View().Engine(engine)
	return used
}

// shareLimit publishes the limit that an engine has stated, or its end, unless the table has it
// already. Daemons that learn of the same change at the same time publish the same entry.
func (f *fleet) shareLimit(engine string, perSecond float64) {
	key := limitPrefix + engine
	version, value, known := f.members.Table().Get(key)
	if known && !limitChanged(f.decodeLimit(key, value), perSecond) {
		return
	}
	if perSecond < 0 {
		f.publish(key, version+1, nil)
		return
	}
	value, err := proto.Marshal(&bronzeturnv1.EngineLimit{PerSecond: &perSecond})
	if err != nil {
		f.daemon.log.Error().Err(err).Str("engine", engine).Msg("request limit not encoded")
		return
	}
	f.publish(key, version+1, value)
}

// limitChanged reports whether a limit differs so much from the published one, or one of them from
// no limit, that the other daemons are told.
func limitChanged(published, stated float64) bool {
	if published < 0 || stated < 0 {
		return published >= 0 || stated >= 0
	}
	return math.Abs(stated-published) > minLimitChange*published
}

// receiveLimit records a limit that another daemon has published, or its end. Expired entries
// have version zero and say nothing.
func (f *fleet) receiveLimit(key string, version uint64, value []byte) {
	if version == 0 {
		return
	}
	f.daemon.limits.Limits.ObserveShared(strings.TrimPrefix(key, limitPrefix), f.decodeLimit(key, value), time.Now())
}

// decodeLimit decodes the value of a limit's entry. A removal means no limit, and an invalid value
// counts as one.
func (f *fleet) decodeLimit(key string, value []byte) float64 {
	if len(value) == 0 {
		return backpressure.NoLimit
	}
	var m bronzeturnv1.EngineLimit
	if err := proto.Unmarshal(value, &m); err != nil || !(m.GetPerSecond() >= 0) {
		f.daemon.log.Error().Err(err).Str("key", key).Msg("published request limit is not valid")
		return backpressure.NoLimit
	}
	return m.GetPerSecond()
}

// brittlePrefix is the key prefix in the gossip table for services whose engines state that they
// crash if they refuse too many requests, by the name of the service.
const brittlePrefix = "brittle/"

const (
	maxBrittleEntries = 1024
	// brittleTTL is how long a daemon that joins the fleet learns from the table that the engines
	// of a service are brittle. brittleInterval is how often the entry is renewed while they are.
	brittleTTL      = 3 * time.Second
	brittleInterval = time.Second
	// maxBrittleAgeMS bounds the age of a statement that is believed, in milliseconds.
	maxBrittleAgeMS = 1 << 30
)

// shareBrittle publishes that the engines of a service are brittle, unless the table has an entry
// that is recent. Versions are times in Unix milliseconds, or exceed that of a daemon whose clock is
// ahead.
func (f *fleet) shareBrittle(service string, tolerated float64, age time.Duration) {
	key := brittlePrefix + service
	now := uint64(time.Now().UnixMilli())
	version, current, _ := f.members.Table().Get(key)
	if len(current) > 0 && now < version+uint64(brittleInterval.Milliseconds()) {
		return
	}
	value, err := proto.Marshal(&bronzeturnv1.BrittleService{ToleratedPerSecond: &tolerated, AgeMs: uint64(age.Milliseconds())})
	if err != nil {
		f.daemon.log.Error().Err(err).Str("service", service).Msg("statement of brittle engines not encoded")
		return
	}
	f.publish(key, max(now, version+1), value)
}

// receiveBrittle records that the engines of a service are brittle according to another daemon.
// Expired entries have no value and say nothing.
func (f *fleet) receiveBrittle(key string, _ uint64, value []byte) {
	if len(value) == 0 {
		return
	}
	var m bronzeturnv1.BrittleService
	if err := proto.Unmarshal(value, &m); err != nil || !(m.GetToleratedPerSecond() >= 0) {
		f.daemon.log.Error().Err(err).Str("key", key).Msg("published statement of brittle engines is not valid")
		return
	}
	age := time.Duration(min(m.GetAgeMs(), maxBrittleAgeMS)) * time.Millisecond
	f.daemon.limits.Brittle.ObserveShared(strings.TrimPrefix(key, brittlePrefix), m.GetToleratedPerSecond(), age, time.Now())
}
