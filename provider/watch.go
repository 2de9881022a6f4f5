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
	// pollInterval is the pause between two reads of the head by a watcher. They
	// confirm that there is no newer head, and find watches that went silent.
	pollInterval = time.Second
	// watchTimeout ends a watch that is past the wait of the object API.
	watchTimeout = 40 * time.Second
	storeBackoff = 200 * time.Millisecond
	storePauses  = 5 * time.Second
)

// pollLoop reads the head again and again while this daemon watches.
func (p *Provider) pollLoop() error {
	return p.whileWatching(func(ctx context.Context) {
		pauses := &backoff.Backoff{Base: storeBackoff, Max: storePauses, Random: p.pollRandom}
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
		p.headMissing()
		return nil
	}
	if err != nil {
		p.log.Debug().Err(err).Msg("head not read")
		return err
	}
	p.fromStore(obj, start)
	return nil
}

// watchLoop waits for changes of the head while this daemon watches.
func (p *Provider) watchLoop() error {
	return p.whileWatching(func(ctx context.Context) {
		pauses := &backoff.Backoff{Base: storeBackoff, Max: storePauses, Random: p.watchRandom}
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

// watch makes one long poll. It is dropped when it takes too long, and when the
// poll loop has read a revision that the watch should have told of.
func (p *Provider) watch(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	after := p.beginWatch(cancel)
	start := time.Now()
	objects, err := p.store.Watch(ctx, config.HeadKey, after)
	overtaken := p.endWatch()
	if err != nil {
		if overtaken {
			p.metrics.silent.Inc()
			return nil
		}
		p.log.Debug().Err(err).Msg("watch failed")
		return err
	}
	for _, obj := range objects {
		if obj.Key == config.HeadKey {
			p.fromStore(obj, start)
		}
	}
	return nil
}

// beginWatch notes the watch under way and returns the revision to watch after.
func (p *Provider) beginWatch(cancel context.CancelFunc) uint64 {
	p.watching.Lock()
	defer p.watching.Unlock()
	p.watching.cancel = cancel
	p.watching.overtaken = false
	return p.watching.revision
}

// endWatch tells whether the poll loop dropped the watch.
func (p *Provider) endWatch() bool {
	p.watching.Lock()
	defer p.watching.Unlock()
	p.watching.cancel = nil
	return p.watching.overtaken
}

// seen notes a revision of the head and drops a watch that did not tell of it.
func (p *Provider) seen(revision uint64) {
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

// fromStore takes a head that was in the store at some time after start.
func (p *Provider) fromStore(obj objectstore.Object, start time.Time) {
	p.seen(obj.Revision)
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

// whileWatching runs f whenever this daemon watches, and ends it when it no
// longer does.
func (p *Provider) whileWatching(f func(ctx context.Context)) error {
	for {
		changed := p.watcher.Changed()
		if p.watcher.Watching() {
			p.session(f)
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

// session runs f until the daemon stops watching or the provider ends.
func (p *Provider) session(f func(ctx context.Context)) {
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

// retryAfter returns the pause that the object API asked for, if any.
func retryAfter(err error) time.Duration {
	var limited *objectstore.RateLimitError
	if errors.As(err, &limited) {
		return limited.RetryAfter
	}
	return 0
}
