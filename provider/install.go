package provider

import (
	"context"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/bronzeturn/bronzeturn/backoff"
	"github.com/bronzeturn/bronzeturn/config"
)

const (
	// retryBase and retryMax bound the pause before missing parts are requested
	// again.
	retryBase = 100 * time.Millisecond
	retryMax  = time.Second
	// storeFallbackAfter is how long a daemon that does not watch queries only its
	// peers before it reads the store. storeFallbackSpread is the range of a random
	// addition.
	storeFallbackAfter  = 2 * time.Second
	storeFallbackSpread = 4 * time.Second
	// probeAfter plus up to probeSpread is the interval at which a daemon whose head
	// is unconfirmed for too long reads the head itself, so that the fleet does not
	// depend on its few watchers.
	probeAfter  = 5 * time.Second
	probeSpread = 10 * time.Second
)

// installLoop puts pending heads in force one after another.
func (p *Provider) installLoop() error {
	ctx := p.tomb.Context(context.Background())
	pauses := &backoff.Backoff{Base: retryBase, Max: retryMax, Random: p.fetchRandom}
	since, fallback := time.Now(), p.randomFallbackDelay()
	for {
		p.verifyHead(ctx)
		p.probe(ctx)
		useStore := time.Since(since) >= fallback
		done := p.tryInstall(ctx, useStore)
		if !p.wait(done, pauses) {
			return tomb.ErrDying
		}
		if done || useStore {
			since, fallback = time.Now(), p.randomFallbackDelay()
		}
	}
}

// randomFallbackDelay returns how long only peers are queried.
func (p *Provider) randomFallbackDelay() time.Duration {
	return storeFallbackAfter + time.Duration(p.fetchRandom.Int64N(int64(storeFallbackSpread)))
}

// probe reads the head from the store if the head in force has been unconfirmed for longer
// than staleAfter.
func (p *Provider) probe(ctx context.Context) {
	status := p.Status()
	if p.watcher.Watching() || status.Generation == 0 || status.NewsAge(time.Now()) <= p.staleAfter {
		return
	}
	if now := time.Now(); now.After(p.nextProbe) {
		p.nextProbe = now.Add(p.randomProbePause())
		p.queryStore(ctx)
	}
}

func (p *Provider) randomProbePause() time.Duration {
	return probeAfter + time.Duration(p.fetchRandom.Int64N(int64(probeSpread)))
}

// wait returns on a signal or after a pause, which is short if the last attempt left
// something undone. It returns false when the provider stops.
func (p *Provider) wait(done bool, pauses *backoff.Backoff) bool {
	pause := p.randomProbePause()
	if done {
		pauses.Reset()
	} else {
		pause = pauses.Next()
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-p.work:
	case <-timer.C:
	case <-p.tomb.Dying():
		return false
	}
	return true
}

// tryInstall fetches and installs the pending head, if any, and reports whether nothing is left
// to do. Watchers read parts from the store; other daemons do so only if fallback is set.
func (p *Provider) tryInstall(ctx context.Context, fallback bool) bool {
	p.mu.Lock()
	target, query := p.state.pending, p.peerAhead || p.state.inForce == nil
	p.mu.Unlock()
	if target == nil && query {
		p.queryPeers(ctx)
		if fallback {
			p.queryStore(ctx)
		}
		p.mu.Lock()
		target = p.state.pending
		p.mu.Unlock()
	}
	if target == nil {
		return p.upToDate()
	}
	values, complete := p.collectParts(ctx, target, fallback)
	if !complete {
		return false
	}
	p.installOrRefuse(target, values)
	return p.upToDate()
}

// upToDate reports whether a head is in force and the daemon knows of no newer valid one.
func (p *Provider) upToDate() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.peerAhead && p.state.newest <= max(p.state.inForce.generation(), p.state.refused.generation()) {
		p.peerAhead = false
	}
	return p.state.pending == nil && p.state.inForce != nil && !p.peerAhead
}

// installOrRefuse validates the complete configuration and puts it in force, or refuses it.
func (p *Provider) installOrRefuse(c *candidate, values map[config.Digest][]byte) {
	snapshot, err := config.BuildSnapshot(c.head, values)
	if err != nil {
		p.mu.Lock()
		p.state.refuse(c, err, time.Now())
		p.fetched = nil
		p.mu.Unlock()
		p.metrics.refused.WithLabelValues(string(c.source)).Inc()
		p.log.Error().Uint64("generation", c.generation()).Str("source", string(c.source)).Err(err).Msg("configuration refused")
		return
	}
	p.notifyMu.Lock()
	defer p.notifyMu.Unlock()
	p.mu.Lock()
	installed := p.state.install(c)
	if installed {
		p.values, p.fetched = values, nil
		p.snapshot.Store(snapshot)
	}
	p.mu.Unlock()
	if !installed {
		return
	}
	p.log.Info().Uint64("generation", c.generation()).Str("source", string(c.source)).Msg("configuration installed")
	for _, f := range p.subscribers {
		f(snapshot)
	}
	p.table.Publish(config.HeadKey, c.generation(), c.value)
}
