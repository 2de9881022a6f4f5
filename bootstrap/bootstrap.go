// Package bootstrap lets daemons find each other through one object of the
// object API: the peer addresses of the daemons that registered last. Hosts are
// replaced at any time, so a list in the settings alone would grow stale.
//
// A daemon writes once at its start, unless it has found the fleet by other means
// and others are to be listed. Afterwards it reads rarely, and writes again only when
// most of the listed daemons are no longer known to be live.
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
	// maxSeeds bounds the listed daemons.
	maxSeeds = 24
	// enoughLive is the number of listed live daemons with which nobody writes.
	enoughLive = 3
	// reviewInterval is the mean time between two reads after the start.
	reviewInterval = 10 * time.Minute
	// retryBase and retryMax bound the pause after a failure.
	retryBase = 200 * time.Millisecond
	retryMax  = 15 * time.Second
	// joinTime is how long a daemon that might not have to be listed waits to join
	// the fleet before it decides, and settleTime by up to how much longer one that has
	// found too few looks again: where 295 start together, half know 280 after 1.1 s, one
	// in five too few after a second, and all after 3.6 s. Each that registers makes two
	// calls and may meet a conflict with others that do.
	joinTime   = 2 * time.Second
	settleTime = 3 * time.Second
	// callTimeout bounds one store call.
	callTimeout = 3 * time.Second
)

// Store is the part of the object API that a Registrar uses.
type Store interface {
	Get(ctx context.Context, key string) (objectstore.Object, error)
	Create(ctx context.Context, key string, value []byte) (objectstore.Object, error)
	Update(ctx context.Context, key string, value []byte, revision uint64) (objectstore.Object, error)
}

// Options configure a Registrar. All fields but Spared and Joined are required.
type Options struct {
	Store Store
	// Self is this daemon.
	Self *bronzeturnv1.Seed
	// OnAddresses is called with the addresses of other daemons after each read.
	OnAddresses func(addresses []string)
	// IsLive tells whether a daemon is known to be live.
	IsLive func(name string) bool
	// SkipRegistration tells whether this daemon has found the fleet already and need not be
	// listed, since enough others are. Nil means never.
	SkipRegistration func() bool
	// HasJoined tells whether this daemon knows any other. Nil means never.
	HasJoined func() bool
	// Random is used for jitter by one goroutine.
	Random *rand.Rand
	Log    zerolog.Logger
}

// Registrar registers this daemon and finds others.
type Registrar struct {
	Options
}

// New returns a Registrar.
func New(o Options) *Registrar { return &Registrar{Options: o} }

// Run registers this daemon and reviews the object from time to time, until
// ctx ends. Failures are tried again with full jitter.
func (r *Registrar) Run(ctx context.Context) error {
	registered := r.isSpared(ctx)
	if registered && backoff.Sleep(ctx, r.longPause()) != nil {
		return nil
	}
	pauses := &backoff.Backoff{Base: retryBase, Max: retryMax, Random: r.Random}
	for {
		err := r.review(ctx, !registered)
		pause := r.longPause()
		if err == nil {
			registered = true
			pauses.Reset()
		} else {
			r.Log.Debug().Err(err).Msg("seeds not reviewed")
			pause = pauses.Next()
		}
		if backoff.Sleep(ctx, pause) != nil {
			return nil
		}
	}
}

// longPause returns the time between two reads after the start.
func (r *Registrar) longPause() time.Duration {
	return reviewInterval/2 + time.Duration(r.Random.Int64N(int64(reviewInterval)))
}

// isSpared waits a little for the daemon to join the fleet, and tells whether it
// neither has to be listed nor needs the list.
func (r *Registrar) isSpared(ctx context.Context) bool {
	if r.SkipRegistration == nil {
		return false
	}
	if backoff.Sleep(ctx, joinTime) != nil || r.SkipRegistration() {
		return true
	}
	if r.HasJoined == nil {
		return false
	}
	if !r.HasJoined() {
		r.look(ctx)
	}
	pause := time.Duration(r.Random.Int64N(int64(settleTime)))
	return backoff.Sleep(ctx, pause) != nil || r.SkipRegistration()
}

// look reads the object for a daemon that has found nobody yet. It need not be listed
// itself if it then finds the fleet: in a start of all, every daemon may be in this place
// for a moment, and 288 of 295 that wrote met each other's conflicts for ten seconds.
func (r *Registrar) look(ctx context.Context) {
	seeds, _, err := r.read(ctx)
	if err != nil {
		r.Log.Debug().Err(err).Msg("seeds not read")
		return
	}
	r.OnAddresses(r.others(seeds))
}

// review reads the object, passes on what it lists, and writes this daemon to
// its front when asked to or when too few of the listed daemons are live.
func (r *Registrar) review(ctx context.Context, register bool) error {
	seeds, revision, err := r.read(ctx)
	if err != nil {
		return err
	}
	r.OnAddresses(r.others(seeds))
	if !register && r.liveAmong(seeds) >= enoughLive {
		return nil
	}
	if !register && seeds.GetSeeds()[0].GetName() == r.Self.GetName() {
		return nil
	}
	return r.write(ctx, r.withSelf(seeds), revision)
}

// read returns the object, or an empty one with revision zero. What can't be
// decoded counts as empty: the object holds nothing that cannot be made anew.
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
		r.Log.Warn().Err(err).Msg("seeds are damaged and written anew")
		seeds = &bronzeturnv1.Seeds{}
	}
	return seeds, obj.Revision, nil
}

// write stores the object if it did not change meanwhile. A lost answer is
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
	r.Log.Info().Int("listed", len(seeds.GetSeeds())).Msg("registered as seed")
	return nil
}

// others returns the addresses of all but this daemon.
func (r *Registrar) others(seeds *bronzeturnv1.Seeds) []string {
	var addresses []string
	for _, seed := range seeds.GetSeeds() {
		if seed.GetName() != r.Self.GetName() {
			addresses = append(addresses, seed.GetPeerAddress())
		}
	}
	return addresses
}

// liveAmong counts the listed daemons that are live, this one included.
func (r *Registrar) liveAmong(seeds *bronzeturnv1.Seeds) int {
	count := 0
	for _, seed := range seeds.GetSeeds() {
		if seed.GetName() == r.Self.GetName() || r.IsLive(seed.GetName()) {
			count++
		}
	}
	return count
}

// withSelf puts this daemon to the front, once, and keeps the bound.
func (r *Registrar) withSelf(seeds *bronzeturnv1.Seeds) *bronzeturnv1.Seeds {
	next := &bronzeturnv1.Seeds{Seeds: []*bronzeturnv1.Seed{r.Self}}
	for _, seed := range seeds.GetSeeds() {
		if seed.GetName() != r.Self.GetName() && len(next.GetSeeds()) < maxSeeds {
			next.Seeds = append(next.Seeds, seed)
		}
	}
	return next
}
