package entry

import (
	"context"
	"time"

	"github.com/bronzeturn/bronzeturn/backoff"
	"github.com/bronzeturn/bronzeturn/canary"
)

const (
	// reviewInterval is the time between two verdicts on an introduction.
	reviewInterval = 200 * time.Millisecond
	// writeTimeout bounds the write of a state.
	writeTimeout = time.Second
)

// start begins to drive introductions and to hear of the other daemons' counts.
func (i *introductions) start(d *Daemon) {
	d.fleet.members.Table().Subscribe(canaryPrefix, i.heard)
	d.goLoop("introductions", i.run)
	d.goLoop("tally", i.tally.Run)
}

// run reviews the introductions until ctx ends.
func (i *introductions) run(ctx context.Context) error {
	err := backoff.Tick(ctx, reviewInterval)
	for err == nil {
		active := i.active()
		if len(active) == 0 {
			err = backoff.Tick(ctx, backoff.IdleInterval)
			continue
		}
		pause := reviewInterval
		for service, known := range active {
			i.review(ctx, service, known)
			pause = min(pause, known.NextReview(time.Now(), reviewInterval))
		}
		if pause < reviewInterval {
			err = backoff.Sleep(ctx, pause) // A deadline, not an interval.
			continue
		}
		err = backoff.Tick(ctx, reviewInterval)
	}
	return nil
}

// active returns the introductions without a final state.
func (i *introductions) active() map[string]*introduction {
	i.mu.Lock()
	defer i.mu.Unlock()
	found := make(map[string]*introduction)
	for service, known := range i.byService {
		if known.State() < canary.Done {
			found[service] = known
		}
	}
	return found
}

// review judges one introduction, tells the others, and writes the state when it
// is this daemon's turn.
func (i *introductions) review(ctx context.Context, service string, known *introduction) {
	now := time.Now()
	verdict := known.Review(now)
	i.tellVerdict(service, known, now)
	i.widen(service, known, now)
	due, isNew := known.driver.Due(known.State(), verdict.State, i.place(service), now)
	if isNew {
		i.daemon.log.Info().Str("service", service).Str("target", known.Order().Target).Stringer("verdict", verdict.State).
			Str("reason", verdict.Reason).Uint64("trial_answers", verdict.Trial.Answers).Uint64("trial_bad", verdict.Trial.Bad).Uint64("trial_slow", verdict.Trial.Slow).
			Uint64("base_answers", verdict.Base.Answers).Uint64("base_bad", verdict.Base.Bad).Uint64("base_slow", verdict.Base.Slow).
			Float64("slowdown", verdict.Slowdown).Float64("pace_slowdown", verdict.PaceSlowdown).Dur("age_ms", verdict.Age).Dur("whole_ms", verdict.Whole).Msg("verdict on an introduction")
	}
	if due {
		i.write(ctx, service, known, verdict.State)
	}
}

// widen lets the new version run on more engines as its share grows.
func (i *introductions) widen(service string, known *introduction, now time.Time) {
	wanted := i.width(known, now)
	i.mu.Lock()
	changed := wanted != known.engines
	known.engines = wanted
	i.mu.Unlock()
	if changed {
		i.daemon.log.Info().Str("service", service).Str("target", known.Order().Target).Int("engines", wanted).Msg("introduction runs on so many engines")
		i.daemon.compileEngines(i.daemon.engines.View())
	}
}

// place returns this daemon's place in the order in which daemons write the state.
func (i *introductions) place(service string) int {
	return i.daemon.fleet.members.View().Rank(canaryPrefix + service)
}

// write puts a state into the store.
func (i *introductions) write(ctx context.Context, service string, known *introduction, state canary.State) {
	i.mu.Lock()
	revision := known.revision
	i.mu.Unlock()
	d := i.daemon
	status, err := d.Documents.OrderStatus(known.Order().Target, state)
	if err != nil {
		d.log.Error().Err(err).Msg("state of an introduction not encoded")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	err = d.Store.SetStatus(ctx, d.Documents.OrderKind(), service, revision, status)
	line := d.log.Info()
	if err != nil {
		line = d.log.Warn().Err(err)
	}
	line.Str("service", service).Stringer("state", state).Uint64("revision", revision).Msg("state of an introduction written")
}
