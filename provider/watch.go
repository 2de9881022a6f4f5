package provider

import (
	"context"
	"errors"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/bronzeturn/bronzeturn/backoff"
	"github.com/bronzeturn/bronzeturn/config"
	"github.com/bronzeturn/bronzeturn/objectstore"
)

const (
	// pollInterval is the pause between two reads of the head by a watcher. The reads
	// confirm that there is no newer head, and detect watches that hang.
	pollInterval = time.Second
	// watchTimeout ends a watch that exceeds the wait of the object API.
	watchTimeout     = 40 * time.Second
	storeBackoffBase = 200 * time.Millisecond
	storeBackoffMax  = 5 * time.Second
)

// pollLoop reads the head periodically while this daemon watches the store.
func (p *Provider) pollLoop() error {
	return p.whileWatching(func(ctx context.Context) {
		pauses := &backoff.Backoff{Base: storeBackoffBase, Max: storeBackoffMax, Random: p.pollRandom}
		for ctx.Err() == nil {
			pause := pollInterval
			if err := p.poll(ctx); err != nil {
				pause = max(pauses.Next(), retryAfter(err))
			} else {
				pauses.Reset()
			}
			if backoff.Sleep(ctx, pause) != nil {
				return
			}
		}
	})
}

// poll reads the head once.
func (p *Provider) poll(ctx context.Context) error {
	start := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	obj, err := p.store.Get(callCtx, config.HeadKey)
	if errors.Is(err, objectstore.ErrNotFound) {
		p.reportMissingHead()
		return nil
	}
	if err != nil {
		p.log.Debug().Err(err).Msg("head not read")
		return err
	}
	p.handleStoreHead(obj, start)
	return nil
}

// watchLoop waits for changes of the head while this daemon watches the store.
func (p *Provider) watchLoop() error {
	return p.whileWatching(func(ctx context.Context) {
		pauses := &backoff.Backoff{Base: storeBackoffBase, Max: storeBackoffMax, Random: p.watchRandom}
		for ctx.Err() == nil {
			err := p.watch(ctx)
			if err == nil {
				pauses.Reset()
				continue
			}
			if backoff.Sleep(ctx, max(pauses.Next(), retryAfter(err))) != nil {
				return
			}
		}
	})
}

// watch makes one long poll. It is cancelled when it takes too long, and when
// another read returned a revision that the watch should have returned.
func (p *Provider) watch(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	after := p.beginWatch(cancel)
	start := time.Now()
	objects, err := p.store.Watch(ctx, config.HeadKey, after)
	overtaken := p.endWatch()
	if err != nil {
		if overtaken {
			p.metrics.overtaken.Inc()
			return nil
		}
		p.log.Debug().Err(err).Msg("watch failed")
		return err
	}
	for _, obj := range objects {
		if obj.Key == config.HeadKey {
			p.handleStoreHead(obj, start)
		}
	}
	return nil
}

// beginWatch registers the watch in progress and returns the revision to watch after.
func (p *Provider) beginWatch(cancel context.CancelFunc) uint64 {
	p.watching.Lock()
	defer p.watching.Unlock()
	p.watching.cancel = cancel
	p.watching.overtaken = false
	return p.watching.revision
}

// endWatch unregisters the watch and reports whether another read overtook it.
func (p *Provider) endWatch() bool {
	p.watching.Lock()
	defer p.watching.Unlock()
	p.watching.cancel = nil
	return p.watching.overtaken
}

// recordRevision records a revision of the head and cancels a watch in progress that missed it.
func (p *Provider) recordRevision(revision uint64) {
	p.watching.Lock()
	defer p.watching.Unlock()
	if revision <= p.watching.revision {
		return
	}
	p.watching.revision = revision
	if p.watching.cancel != nil {
		p.watching.overtaken = true
		p.watching.cancel()
	}
}

// handleStoreHead processes a head returned by a read of the store that began at start.
func (p *Provider) handleStoreHead(obj objectstore.Object, start time.Time) {
	p.recordRevision(obj.Revision)
	c, err := decodeCandidate(obj.Value, SourceStore)
	if err != nil {
		p.reject(SourceStore, obj.Value, err)
		return
	}
	p.offer(c)
	p.mu.Lock()
	p.state.confirmStore(c.digest, start)
	p.mu.Unlock()
}

// whileWatching runs f while this daemon watches the store, and cancels its context when the
// daemon stops watching.
func (p *Provider) whileWatching(f func(ctx context.Context)) error {
	for {
		changed := p.watcher.Changed()
		if p.watcher.Watching() {
			p.runUntilNotWatching(f)
		} else {
			select {
			case <-changed:
			case <-p.tomb.Dying():
			}
		}
		if !p.tomb.Alive() {
			return tomb.ErrDying
		}
	}
}

// runUntilNotWatching runs f with a context that ends when the daemon stops watching the store
// or the provider stops.
func (p *Provider) runUntilNotWatching(f func(ctx context.Context)) {
	ctx, cancel := context.WithCancel(p.tomb.Context(context.Background()))
	defer cancel()
	go func() {
		defer cancel()
		for {
			changed := p.watcher.Changed()
			if !p.watcher.Watching() {
				return
			}
			select {
			case <-changed:
			case <-ctx.Done():
				return
			}
		}
	}()
	f(ctx)
}

// retryAfter returns the pause that the object API requested, or zero.
func retryAfter(err error) time.Duration {
	var limited *objectstore.RateLimitError
	if errors.As(err, &limited) {
		return limited.RetryAfter
	}
	return 0
}
