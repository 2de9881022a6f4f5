package entry

import (
	"context"
	"time"

	"github.com/bronzeturn/bronzeturn/backoff"
	"github.com/bronzeturn/bronzeturn/canary"
	"github.com/bronzeturn/bronzeturn/revision"
)

const (
	// reviewInterval is the interval between reviews of an introduction.
	reviewInterval = 200 * time.Millisecond
	// writeTimeout limits the write of a state to the store.
	writeTimeout = time.Second
)

// start runs the reviews of introductions and the exchange of counts and verdicts with the other
// daemons.
func (i *introductions) start(d *Daemon) {
	d.fleet.members.Table().Subscribe(canaryPrefix, i.receiveVerdict)
	d.goLoop("introductions", i.run)
	d.goLoop("tally", i.tally.Run)
}

// run reviews the introductions until ctx is done.
func (i *introductions) run(ctx context.Context) error {
	err := backoff.Tick(ctx, reviewInterval)
	for err == nil {
		active := i.active()
		if len(active) == 0 {
			err = backoff.Tick(ctx, backoff.IdleInterval)
			continue
		}
		pause := reviewInterval
		for service, intro := range active {
			if intro.State() >= canary.Done {
				i.writeAgain(ctx, service, intro)
				continue
			}
			i.review(ctx, service, intro)
			pause = min(pause, intro.NextReview(time.Now(), reviewInterval))
		}
		if pause < reviewInterval {
			err = backoff.Sleep(ctx, pause) // The next review is due at a fixed time, not at a tick.
			continue
		}
		err = backoff.Tick(ctx, reviewInterval)
	}
	return nil
}

// active returns the introductions that are not in a final state, and those whose final state a
// restored store has lost, by service.
func (i *introductions) active() map[string]*introduction {
	i.mu.Lock()
	defer i.mu.Unlock()
	found := make(map[string]*introduction)
	for service, intro := range i.byService {
		if intro.State() < canary.Done || intro.stored != intro.State() {
			found[service] = intro
		}
	}
	return found
}

// review evaluates one introduction, publishes a verdict against the version, and writes the new
// state to the store when it is this daemon's turn.
func (i *introductions) review(ctx context.Context, service string, intro *introduction) {
	now := time.Now()
	verdict := intro.Review(now)
	i.publishVerdict(service, intro, now)
	i.updateEngineCount(service, intro, now)
	if verdict.Doubted && !intro.doubted {
		intro.doubted = true
		i.daemon.log.Info().Str("service", service).Str("target", intro.Order().Target).Strs("bad_by_route", verdict.BadByRoute).
			Dur("age_ms", verdict.Age).Msg("introduction is not declared complete because of bad answers")
	}
	due, isNew := intro.driver.Due(intro.State(), verdict.State, i.writeRank(service), now)
	if isNew {
		i.daemon.log.Info().Str("service", service).Str("target", intro.Order().Target).Stringer("verdict", verdict.State).
			Str("reason", verdict.Reason).Uint64("trial_answers", verdict.Trial.Answers).Uint64("trial_bad", verdict.Trial.Bad).Uint64("trial_slow", verdict.Trial.Slow).
			Uint64("base_answers", verdict.Base.Answers).Uint64("base_bad", verdict.Base.Bad).Uint64("base_slow", verdict.Base.Slow).
			Strs("bad_by_route", verdict.BadByRoute).Float64("slowdown", verdict.Slowdown).Float64("pace_slowdown", verdict.PaceSlowdown).Dur("age_ms", verdict.Age).Dur("whole_ms", verdict.FullTrafficAge).Msg("verdict on an introduction")
	}
	if due {
		i.write(ctx, service, intro, verdict.State)
	}
}

// writeAgain writes the final state of an introduction that a restored store has lost, when it is
// this daemon's turn.
func (i *introductions) writeAgain(ctx context.Context, service string, intro *introduction) {
	i.mu.Lock()
	stored := intro.stored
	i.mu.Unlock()
	if due, _ := intro.driver.Due(stored, intro.State(), i.writeRank(service), time.Now()); due {
		i.write(ctx, service, intro, intro.State())
	}
}

// updateEngineCount adjusts the number of engines on which the new version runs to its share.
func (i *introductions) updateEngineCount(service string, intro *introduction, now time.Time) {
	wanted := i.wantedEngines(intro, now)
	i.mu.Lock()
	changed := wanted != intro.engines
	intro.engines = wanted
	i.mu.Unlock()
	if changed {
		i.daemon.log.Info().Str("service", service).Str("target", intro.Order().Target).Int("engines", wanted).Msg("number of engines of an introduction changed")
		i.daemon.compileEngines(i.daemon.engines.View())
	}
}

// writeRank returns this daemon's position in the order in which the daemons try to write the
// state of a service's introduction.
func (i *introductions) writeRank(service string) int {
	return i.daemon.fleet.members.View().Rank(canaryPrefix + service)
}

// write writes the state of an introduction to the store.
func (i *introductions) write(ctx context.Context, service string, intro *introduction, state canary.State) {
	i.mu.Lock()
	at := intro.revision
	i.mu.Unlock()
	d := i.daemon
	status, err := d.Documents.OrderStatus(intro.Order().Target, state)
	if err != nil {
		d.log.Error().Err(err).Msg("failed to encode state of an introduction")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	err = d.Store.SetStatus(ctx, d.Documents.OrderKind(), service, at, status)
	line := d.log.Info()
	if err != nil {
		line = d.log.Warn().Err(err)
	}
	line.Str("service", service).Stringer("state", state).Uint64("revision", revision.Counter(at)).Msg("state of an introduction written")
}
