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

// Bounds of the polling of ratings.
const (
	pollInterval = time.Second
	pollTimeout  = 5 * time.Second
	// ratingsKey is the key whose preferred owner polls the rating service. The
	// others hear of the ratings as merged estimates.
	ratingsKey = "ratings"
)

// learning takes in ratings and spreads what they tell.
type learning struct {
	versions *selection.Policy
	exchange *quality.Exchange
	sync     *rollout.Sync
	client   *rating.Client
	owner    func(key string) (name string, self bool)
	log      zerolog.Logger
	// last is the highest sequence of a rating taken in by this daemon.
	last uint64
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
		OnMerged:    l.judge,
		Log:         l.log,
	})
	return l
}

// judge runs the sequential test over ratings merged by this daemon.
func (l *learning) judge(c quality.Counts, now time.Time) {
	l.sync.Changed(c.Version, l.versions.EvaluateVersion(c, now))
}

// start begins to exchange and to poll.
func (l *learning) start(d *Daemon) {
	l.sync.Start()
	l.exchange.Start()
	if l.client != nil {
		d.goLoop("ratings", l.poll)
	}
}

// stop hands over what was not yet reported.
func (l *learning) stop() {
	if err := l.exchange.Stop(); err != nil {
		l.log.Warn().Err(err).Msg("ratings not handed over")
	}
}

// poll asks for ratings while this daemon is the preferred owner of the task.
// Ratings polled by two daemons at once are sorted out by the rating's sequence
// in each daemon only, so an overlap at a change of owner can count a page of
// ratings twice; estimates discount, and no promise rests on them.
func (l *learning) poll(ctx context.Context) error {
	for backoff.Sleep(ctx, pollInterval) == nil {
		if _, self := l.owner(ratingsKey); !self {
			continue
		}
		if err := l.pollOnce(ctx); err != nil {
			l.log.Debug().Err(err).Msg("no ratings")
		}
	}
	return nil
}

func (l *learning) pollOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	ratings, err := l.client.Poll(ctx, l.last)
	if err != nil {
		return err
	}
	now := time.Now()
	for _, r := range ratings {
		l.last = max(l.last, r.Sequence)
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

// sharedTable adapts the flooded table to users that handle its refusals.
type sharedTable struct{ node *gossip.Node }

// Publish implements quality.Table and rollout.Table.
func (t sharedTable) Publish(key string, version uint64, value []byte) error {
	return t.node.Publish(key, version, value)
}

// Subscribe implements quality.Table and rollout.Table.
func (t sharedTable) Subscribe(prefix string, f func(key string, version uint64, value []byte)) {
	t.node.Subscribe(prefix, f)
}
