package bronzeturn

import (
	"context"
	"time"

	"github.com/bronzeturn/bronzeturn/backoff"
	"github.com/bronzeturn/bronzeturn/config"
	"github.com/bronzeturn/bronzeturn/logging"
)

const (
	// collectInterval is the time between two garbage collections, which delete the
	// parts that only old configurations refer to.
	collectInterval = 10 * time.Minute
	// collectTimeout bounds one garbage collection.
	collectTimeout = 2 * time.Minute
	// keptGenerations is the number of older generations whose parts are kept,
	// for daemons that lag behind.
	keptGenerations = 100
	// collectKey is the key whose preferred owner collects garbage. Two daemons that
	// collect at once do no harm.
	collectKey = "config/collect"
)

// collectParts periodically deletes the parts of old configurations. Only the
// preferred owner of collectKey does so.
func (d *Daemon) collectParts(ctx context.Context) error {
	log := logging.Part(d.log, "config")
	random := d.rand(randCollect)
	for backoff.Sleep(ctx, collectInterval) == nil {
		if _, self := d.fleet.members.Owner(collectKey); !self {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, collectTimeout)
		deleted, err := config.CollectGarbage(callCtx, d.platform.store, random, keptGenerations)
		cancel()
		if err != nil {
			log.Warn().Err(err).Int("deleted", deleted).Msg("deleting parts of old configurations failed")
			continue
		}
		log.Info().Int("deleted", deleted).Msg("parts of old configurations deleted")
	}
	return nil
}
