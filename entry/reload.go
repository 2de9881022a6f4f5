package entry

import (
	"context"
	"os"
	"time"

	"github.com/bronzeturn/bronzeturn/backoff"
)

// reloadPollInterval is the interval between checks of the settings file for changes that are not
// announced by a signal.
const reloadPollInterval = time.Second

// fileStamp identifies a state of a file without reading it.
type fileStamp struct {
	modified time.Time
	size     int64
}

func stampOf(path string) (fileStamp, error) {
	info, err := os.Stat(path)
	if err != nil {
		return fileStamp{}, err
	}
	return fileStamp{modified: info.ModTime(), size: info.Size()}, nil
}

// WatchSettings reloads the settings after each signal and each change of the file, until ctx is
// done. If the file is invalid, the previous settings stay in force.
func (d *Daemon) WatchSettings(ctx context.Context, path string, signals <-chan os.Signal, load func(path string) (Settings, error)) {
	last, err := stampOf(path)
	if err != nil {
		d.log.Warn().Err(err).Msg("cannot stat settings file")
	}
	timer := time.NewTimer(backoff.UntilTick(reloadPollInterval))
	defer timer.Stop()
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-signals:
			signalled = true
		case <-timer.C:
			timer.Reset(backoff.UntilTick(reloadPollInterval))
		}
		now, err := stampOf(path)
		if err != nil || now == last && !signalled {
			continue // A file that is just being replaced will exist at the next check.
		}
		last = now
		d.reload(path, load)
	}
}

// reload applies the settings that can change while the daemon runs.
func (d *Daemon) reload(path string, load func(path string) (Settings, error)) {
	next, err := load(path)
	if err != nil {
		d.log.Error().Err(err).Msg("settings refused, the previous ones stay in force")
		return
	}
	d.current.Store(&next)
	d.gateway.SetBudget(next.Budget)
	d.log.Info().Dur("stop_grace_ms", next.StopGrace).Dur("address_ttl_ms", next.AddressTTL).
		Float64("retry_ratio", next.Budget.Ratio).Float64("retry_slack", next.Budget.Slack).Msg("settings reloaded")
}
