package bronzeturn

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/bronzeturn/bronzeturn/backoff"
	"github.com/bronzeturn/bronzeturn/gossip"
	"github.com/bronzeturn/bronzeturn/logging"
	"github.com/bronzeturn/bronzeturn/quality"
	"github.com/bronzeturn/bronzeturn/rating"
	"github.com/bronzeturn/bronzeturn/rollout"
	"github.com/bronzeturn/bronzeturn/selection"
)

// Polling of the rating service.
const (
	ratingsPollInterval = time.Second
	ratingsPollTimeout  = 5 * time.Second
	// ratingsKey is the key whose preferred owner polls the rating service. The
	// other daemons receive the ratings merged into quality estimates.
	ratingsKey = "ratings"
)

// learning receives ratings and shares the quality estimates and the state of
// roll-outs that follow from them with the other daemons.
type learning struct {
	versions *selection.Policy
	exchange *quality.Exchange
	sync     *rollout.Sync
	client   *rating.Client
	owner    func(key string) (name string, self bool)
	log      zerolog.Logger
	// lastSequence is the highest sequence number of the ratings that this daemon
	// has received.
	lastSequence uint64
}

func newLearning(d *Daemon) *learning {
	n := d.decisions
	l := &learning{
		versions: n.versions,
		client:   d.platform.ratings,
		owner:    d.fleet.members.Owner,
		log:      logging.Part(d.log, "quality"),
	}
	shared := sharedTable{d.fleet.members.Table()}
	l.sync = rollout.NewSync(n.rollouts, shared, d.log)
	l.exchange = quality.NewExchange(quality.ExchangeOptions{
		Name:        d.settings.GetName(),
		Incarnation: d.rand(randLearning).Uint64(),
		Store:       n.quality,
		Table:       shared,
		Owners:      d.fleet.members,
		Dialer:      d.fleet.directory,
		OnMerged:    l.evaluate,
		Log:         l.log,
	})
	return l
}

// evaluate runs the sequential test of a version's quality on ratings that this daemon
// has merged, and shares the result.
func (l *learning) evaluate(c quality.Counts, now time.Time) {
	l.sync.Changed(c.Version, l.versions.EvaluateVersion(c, now))
}

// start starts the exchange with other daemons and, with a rating service, the
// polling of ratings.
func (l *learning) start(d *Daemon) {
	l.sync.Start()
	l.exchange.Start()
	if l.client != nil {
		d.goLoop("ratings", l.pollRatings)
	}
}

// stop reports the ratings that have not been reported to the aggregators yet.
func (l *learning) stop() {
	if err := l.exchange.Stop(); err != nil {
		l.log.Warn().Err(err).Msg("last ratings could not be reported to other daemons")
	}
}

// pollRatings polls the rating service while this daemon is the preferred owner of
// ratingsKey. Each daemon removes duplicates by sequence number only among the
// ratings that it has polled itself, so a page of ratings may be counted twice
// when the owner changes. This is harmless: the estimates discount old ratings, and
// no guarantee depends on them.
func (l *learning) pollRatings(ctx context.Context) error {
	for backoff.Sleep(ctx, ratingsPollInterval) == nil {
		if _, self := l.owner(ratingsKey); !self {
			continue
		}
		if err := l.pollOnce(ctx); err != nil {
			l.log.Debug().Err(err).Msg("rating service could not be polled")
		}
	}
	return nil
}

func (l *learning) pollOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, ratingsPollTimeout)
	defer cancel()
	ratings, err := l.client.Poll(ctx, l.lastSequence)
	if err != nil {
		return err
	}
	now := time.Now()
	for _, r := range ratings {
		l.lastSequence = max(l.lastSequence, r.Sequence)
		err := l.exchange.AddRating(quality.Rating{
			Organisation: r.Organisation, Version: r.Version, Kind: r.Kind,
			Accepted: r.Accepted, Score: r.Score, At: now,
		})
		if err != nil {
			l.log.Warn().Err(err).Str("version", r.Version).Msg("rating refused")
		}
	}
	return nil
}

// sharedTable adapts the flooded table to users that handle the errors of Publish.
type sharedTable struct{ node *gossip.Node }

// Publish implements quality.Table and rollout.Table.
func (t sharedTable) Publish(key string, version uint64, value []byte) error {
	return t.node.Publish(key, version, value)
}

// Subscribe implements quality.Table and rollout.Table.
func (t sharedTable) Subscribe(prefix string, f func(key string, version uint64, value []byte)) {
	t.node.Subscribe(prefix, f)
}
