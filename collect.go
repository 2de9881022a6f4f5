package bronzeturn

import (
	"context"
	"time"

	"github.com/bronzeturn/bronzeturn/backoff"
	"github.com/bronzeturn/bronzeturn/config"
	"github.com/bronzeturn/bronzeturn/logging"
)

const (
	// collectInterval is the time between two collections of parts of old
	// configurations.
	collectInterval = 10 * time.Minute
	// collectTimeout bounds one collection.
	collectTimeout = 2 * time.Minute
	// collectKeep is how many older generations keep their parts, for daemons
	// that lag behind.
	collectKeep = 100
	// collectKey is the key whose preferred owner collects. Two that collect at
	// once do no harm.
	collectKey = "config/collect"
)

// collectParts deletes the parts of old configurations from time to time, on
// one daemon of the fleet.
func (d *Daemon) collectParts(ctx context.Context) error {
	log := logging.Part(d.log, "config")
	random := d.rand(randCollect)
	for backoff.Sleep(ctx, collectInterval) == nil {
		if _, self := d.fleet.members.Owner(collectKey); !self {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, collectTimeout)
		deleted, err := config.CollectGarbage(callCtx, d.platform.store, random, collectKeep)
		cancel()
		if err != nil {
			log.Warn().Err(err).Int("deleted", deleted).Msg("old parts not all deleted")
			continue
		}
		log.Info().Int("deleted", deleted).Msg("old parts deleted")
	}
	return nil
}
