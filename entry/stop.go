package entry

import (
	"context"
	"time"

	"github.com/bronzeturn/bronzeturn/backoff"
	"github.com/bronzeturn/bronzeturn/gateway"
)

// Phases of the grace period of a stop.
const (
	// stayShare is the fraction of the grace period for which the daemon stays even if no request is
	// in progress: callers learn only with time that it leaves.
	stayShare = 0.8
	// announceShare and maxAnnounce bound the first part of the grace period, in which callers do not know yet
	// that the daemon leaves. Requests that are refused in it are likely to meet another daemon that leaves if
	// all are restarted one after the other.
	announceShare = 0.35
	maxAnnounce   = 2500 * time.Millisecond
	// maxStopMargin and stopMarginShare bound the time reserved at the end of the grace period. The
	// platform tolerates that engines are still at work in the last sixth of the period only.
	maxStopMargin   = 700 * time.Millisecond
	stopMarginShare = 0.125
	// answerShare is the fraction of the reserved time in which requests that are still in progress
	// are answered without their engines.
	answerShare = 0.4
)

// stopMargin returns the time reserved at the end of a grace period.
func stopMargin(grace time.Duration) time.Duration {
	return min(maxStopMargin, time.Duration(stopMarginShare*float64(grace)))
}

// stop shuts the daemon down gracefully. It goes on taking requests that will end in time.
func (d *Daemon) stop() error {
	began := time.Now()
	grace := d.current.Load().StopGrace
	margin := stopMargin(grace)
	ends := began.Add(grace - margin)
	d.leaving.Store(true)
	d.log.Info().Int("in_progress", d.gateway.InProgress()).Dur("grace_ms", grace).Msg("daemon leaves")
	d.fleet.leave()
	d.gateway.Stop(began.Add(min(maxAnnounce, time.Duration(announceShare*float64(grace)))), ends)
	d.relay.Server().StopAdmitting()
	ctx, cancel := context.WithDeadline(context.Background(), ends)
	defer cancel()
	// Whatever ends these two early, the next ones deal with what is left.
	_ = backoff.Sleep(ctx, time.Duration(stayShare*float64(grace)))
	_ = d.gateway.Drain(ctx)
	now := time.Now()
	d.gateway.Stop(now, now) // No request begins between the last one and the end of the servers.
	if err := d.gateway.Drain(ctx); err != nil {
		d.answerRemaining(time.Duration(answerShare * float64(margin)))
	}
	if err := d.relay.Server().Drain(ctx); err != nil {
		d.log.Error().Err(err).Int("connections", d.relay.Server().Forwarding()).Msg("connections of other daemons closed at the end of the grace period")
	}
	d.servers.stop()
	d.tomb.Kill(nil)
	d.fleet.stop()
	err := d.tomb.Wait()
	d.log.Info().Dur("took_ms", time.Since(began)).Msg("daemon stopped")
	return err
}

// answerRemaining ends the requests that are still in progress, so that their callers are told whether
// they may have run, and waits until they are answered.
func (d *Daemon) answerRemaining(within time.Duration) {
	d.log.Warn().Int("in_progress", d.gateway.InProgress()).Msg("requests in progress are ended at the end of the grace period")
	d.gateway.LogInProgress()
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	d.abort(gateway.ErrStopping)
	d.servers.stopReading()
	if err := d.gateway.Drain(ctx); err != nil {
		d.log.Error().Err(err).Int("in_progress", d.gateway.InProgress()).Msg("requests in progress aborted at the end of the grace period")
	}
}
