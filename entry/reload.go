package entry

import (
	"context"
	"os"
	"time"

	"github.com/bronzeturn/bronzeturn/backoff"
)

// reloadPoll is the time between two looks at the settings file, which may
// change without a signal.
const reloadPoll = time.Second

// stamp tells two states of a file apart without reading it.
type stamp struct {
	modified time.Time
	size     int64
}

func stampOf(path string) (stamp, error) {
	info, err := os.Stat(path)
	if err != nil {
		return stamp{}, err
	}
	return stamp{modified: info.ModTime(), size: info.Size()}, nil
}

// WatchSettings loads the settings again after a signal, and when the file has
// changed without one, until ctx ends. A wrong file is refused; the settings
// before stay in force.
func (d *Daemon) WatchSettings(ctx context.Context, path string, signals <-chan os.Signal, load func(path string) (Settings, error)) {
	last, err := stampOf(path)
	if err != nil {
		d.log.Warn().Err(err).Msg("settings file cannot be looked at")
	}
	timer := time.NewTimer(backoff.UntilTick(reloadPoll))
	defer timer.Stop()
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-signals:
			signalled = true
		case <-timer.C:
			timer.Reset(backoff.UntilTick(reloadPoll))
		}
		now, err := stampOf(path)
		if err != nil || now == last && !signalled {
			continue // A file that is being replaced is there at the next look.
		}
		last = now
		d.reload(path, load)
	}
}

// reload takes in the settings that can change while the daemon runs.
func (d *Daemon) reload(path string, load func(path string) (Settings, error)) {
	next, err := load(path)
	if err != nil {
		d.log.Error().Err(err).Msg("settings refused, the ones before stay in force")
		return
	}
	d.current.Store(&next)
	d.gateway.SetBudget(next.Budget)
	d.log.Info().Dur("stop_grace_ms", next.StopGrace).Dur("address_ttl_ms", next.AddressTTL).
		Float64("retry_ratio", next.Budget.Ratio).Float64("retry_slack", next.Budget.Slack).Msg("settings reloaded")
}
