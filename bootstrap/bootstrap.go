// Package bootstrap lets daemons find each other through one object in the object API, which
// holds the peer addresses of the daemons that registered most recently. Hosts can be
// replaced at any time, so a list in the settings alone would become outdated.
//
// A daemon writes to the object once at startup, unless it has found the fleet by other means
// and enough other daemons are to be listed. Afterwards it reads the object rarely, and writes
// again only when fewer than minLive of the listed daemons are known to be live.
package bootstrap

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/bronzeturn/bronzeturn/backoff"
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/objectstore"
)

// Key is the key of the object.
const Key = "members/seeds"

const (
	// maxSeeds is the maximum number of listed daemons.
	maxSeeds = 24
	// minLive is the number of live daemons in the list from which nobody writes again.
	minLive = 3
	// reviewInterval is the mean interval between reads after startup.
	reviewInterval = 10 * time.Minute
	// retryBase and retryMax bound the pause after a failed review.
	retryBase = 200 * time.Millisecond
	retryMax  = 15 * time.Second
	// joinWait is how long a daemon that may skip registration waits to join the fleet
	// before it decides. A daemon that has found too few others by then waits again, for a
	// random time of up to maxSettleWait. When 295 daemons start together, half of them know
	// 280 others after 1.1 s, one in five knows too few after 1 s, and all know enough after
	// 3.6 s. A registration takes two calls and can conflict with others.
	joinWait      = 2 * time.Second
	maxSettleWait = 3 * time.Second
	// callTimeout limits one store call.
	callTimeout = 3 * time.Second
)

// Store is the part of the object API that a Registrar uses.
type Store interface {
	Get(ctx context.Context, key string) (objectstore.Object, error)
	Create(ctx context.Context, key string, value []byte) (objectstore.Object, error)
	Update(ctx context.Context, key string, value []byte, revision uint64) (objectstore.Object, error)
}

// Options configures a Registrar. All fields but SkipRegistration and HasJoined are required.
type Options struct {
	Store Store
	// Self is this daemon.
	Self *bronzeturnv1.Seed
	// OnAddresses is called after each read with the listed addresses of other daemons.
	OnAddresses func(addresses []string)
	// IsLive reports whether a daemon is known to be live.
	IsLive func(name string) bool
	// SkipRegistration reports whether this daemon has found the fleet and need not be
	// listed, since enough others are. Nil means that it always registers.
	SkipRegistration func() bool
	// HasJoined reports whether this daemon knows any other daemon. Nil means that it
	// registers without the second wait of maxSettleWait.
	HasJoined func() bool
	// Random is used for jitter, only by Run.
	Random *rand.Rand
	Log    zerolog.Logger
}

// Registrar registers this daemon and finds other daemons.
type Registrar struct {
	Options
	restored chan struct{}
	// listed is set once this daemon has written itself into the list. It is used by Run only.
	listed bool
}

// New returns a Registrar.
func New(o Options) *Registrar { return &Registrar{Options: o, restored: make(chan struct{}, 1)} }

// StoreRestored makes this daemon register again if it has registered before, because the store has
// come back from a copy and may have lost the registration.
func (r *Registrar) StoreRestored() {
	select {
	case r.restored <- struct{}{}:
	default:
	}
}

// pause sleeps, and reports whether the store has been restored meanwhile.
func (r *Registrar) pause(ctx context.Context, d time.Duration) (restored bool, err error) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false, context.Cause(ctx)
	case <-r.restored:
		return true, nil
	case <-timer.C:
		return false, nil
	}
}

// Run registers this daemon and reviews the object periodically until ctx ends. It retries
// failed reviews with full jitter.
func (r *Registrar) Run(ctx context.Context) error {
	registered := r.waitToSkip(ctx)
	if registered && backoff.Sleep(ctx, r.reviewPause()) != nil {
		return nil
	}
	pauses := &backoff.Backoff{Base: retryBase, Max: retryMax, Random: r.Random}
	for {
		err := r.review(ctx, !registered)
		pause := r.reviewPause()
		if err == nil {
			registered = true
			pauses.Reset()
		} else {
			r.Log.Debug().Err(err).Msg("review of seeds failed")
			pause = pauses.Next()
		}
		restored, ended := r.pause(ctx, pause)
		if ended != nil {
			return nil
		}
		if restored && r.listed {
			registered = false
		}
	}
}

// reviewPause returns a random pause between reads after startup.
func (r *Registrar) reviewPause() time.Duration {
	return reviewInterval/2 + time.Duration(r.Random.Int64N(int64(reviewInterval)))
}

// waitToSkip waits for the daemon to join the fleet, and reports whether it can skip the
// registration or ctx has ended.
func (r *Registrar) waitToSkip(ctx context.Context) bool {
	if r.SkipRegistration == nil {
		return false
	}
	if backoff.Sleep(ctx, joinWait) != nil || r.SkipRegistration() {
		return true
	}
	if r.HasJoined == nil {
		return false
	}
	if !r.HasJoined() {
		r.readOnly(ctx)
	}
	pause := time.Duration(r.Random.Int64N(int64(maxSettleWait)))
	return backoff.Sleep(ctx, pause) != nil || r.SkipRegistration()
}

// readOnly reads the object without registering, for a daemon that has found no other daemon yet.
// If it then finds the fleet, it need not be listed. When all daemons start together, every
// daemon can be in this state for a moment: with 288 of 295 daemons writing, they conflicted
// with each other for ten seconds.
func (r *Registrar) readOnly(ctx context.Context) {
	seeds, _, err := r.read(ctx)
	if err != nil {
		r.Log.Debug().Err(err).Msg("read of seeds failed")
		return
	}
	r.OnAddresses(r.others(seeds))
}

// review reads the object and passes the listed addresses to OnAddresses. It adds this daemon
// to the front of the list if register is set, or if too few of the listed daemons are live and
// this daemon is not at the front already.
func (r *Registrar) review(ctx context.Context, register bool) error {
	seeds, revision, err := r.read(ctx)
	if err != nil {
		return err
	}
	r.OnAddresses(r.others(seeds))
	if !register && r.countLive(seeds) >= minLive {
		return nil
	}
	if !register && seeds.GetSeeds()[0].GetName() == r.Self.GetName() {
		return nil
	}
	return r.write(ctx, r.withSelf(seeds), revision)
}

// read returns the list and its revision, which is zero if the object does not exist. An object
// that cannot be decoded counts as an empty list, since registrations restore its content.
func (r *Registrar) read(ctx context.Context) (*bronzeturnv1.Seeds, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	seeds := &bronzeturnv1.Seeds{}
	obj, err := r.Store.Get(ctx, Key)
	if errors.Is(err, objectstore.ErrNotFound) {
		return seeds, 0, nil
	}
	if err != nil {
		return nil, 0, fmt.Errorf("read seeds: %w", err)
	}
	if err := proto.Unmarshal(obj.Value, seeds); err != nil {
		r.Log.Warn().Err(err).Msg("seeds cannot be decoded and will be replaced")
		seeds = &bronzeturnv1.Seeds{}
	}
	return seeds, obj.Revision, nil
}

// write stores the list unless the object has changed since it was read. A lost response is
// harmless: the next attempt moves this daemon to the front again.
func (r *Registrar) write(ctx context.Context, seeds *bronzeturnv1.Seeds, revision uint64) error {
	value, err := proto.Marshal(seeds)
	if err != nil {
		return fmt.Errorf("encode seeds: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if revision == 0 {
		_, err = r.Store.Create(ctx, Key, value)
	} else {
		_, err = r.Store.Update(ctx, Key, value, revision)
	}
	if err != nil {
		return fmt.Errorf("write seeds: %w", err)
	}
	r.listed = true
	r.Log.Info().Int("listed", len(seeds.GetSeeds())).Msg("registered as seed")
	return nil
}

// others returns the addresses of all listed daemons but this one.
func (r *Registrar) others(seeds *bronzeturnv1.Seeds) []string {
	var addresses []string
	for _, seed := range seeds.GetSeeds() {
		if seed.GetName() != r.Self.GetName() {
			addresses = append(addresses, seed.GetPeerAddress())
		}
	}
	return addresses
}

// countLive returns the number of listed daemons that are live, including this one.
func (r *Registrar) countLive(seeds *bronzeturnv1.Seeds) int {
	count := 0
	for _, seed := range seeds.GetSeeds() {
		if seed.GetName() == r.Self.GetName() || r.IsLive(seed.GetName()) {
			count++
		}
	}
	return count
}

// withSelf returns the list with this daemon at the front and at most maxSeeds entries.
func (r *Registrar) withSelf(seeds *bronzeturnv1.Seeds) *bronzeturnv1.Seeds {
	next := &bronzeturnv1.Seeds{Seeds: []*bronzeturnv1.Seed{r.Self}}
	for _, seed := range seeds.GetSeeds() {
		if seed.GetName() != r.Self.GetName() && len(next.GetSeeds()) < maxSeeds {
			next.Seeds = append(next.Seeds, seed)
		}
	}
	return next
}
