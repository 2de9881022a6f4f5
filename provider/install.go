package provider

import (
	"context"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/bronzeturn/bronzeturn/backoff"
	"github.com/bronzeturn/bronzeturn/config"
)

const (
	// retryBase and retryMax bound the pause before missing parts are asked for
	// again.
	retryBase = 100 * time.Millisecond
	retryMax  = time.Second
	// storeAfter is how long a daemon that does not watch asks its peers only.
	// The pause before its first store read is spread over storeSpread.
	storeAfter  = 2 * time.Second
	storeSpread = 4 * time.Second
	// probeAfter and probeSpread give the pause between two looks at the age of
	// the news. A daemon with stale news reads the head itself, so that work does
	// not depend on the few watchers alone.
	probeAfter  = 5 * time.Second
	probeSpread = 10 * time.Second
)

// installLoop puts pending heads in force, one at a time.
func (p *Provider) installLoop() error {
	ctx := p.tomb.Context(context.Background())
	pauses := &backoff.Backoff{Base: retryBase, Max: retryMax, Random: p.fetchRandom}
	since, fallback := time.Now(), p.drawFallback()
	for {
		p.verifyNow(ctx)
		p.probe(ctx)
		useStore := time.Since(since) >= fallback
		done := p.step(ctx, useStore)
		if !p.wait(done, pauses) {
			return tomb.ErrDying
		}
		if done || useStore {
			since, fallback = time.Now(), p.drawFallback()
		}
	}
}

// drawFallback returns how long only peers are asked.
func (p *Provider) drawFallback() time.Duration {
	return storeAfter + time.Duration(p.fetchRandom.Int64N(int64(storeSpread)))
}

// probe reads the head if the news is stale although nothing newer is known.
func (p *Provider) probe(ctx context.Context) {
	status := p.Status()
	if p.watcher.Watching() || status.Generation == 0 || status.NewsAge(time.Now()) <= p.staleAfter {
		return
	}
	if now := time.Now(); now.After(p.nextProbe) {
		p.nextProbe = now.Add(p.drawProbe())
		p.askStore(ctx)
	}
}

func (p *Provider) drawProbe() time.Duration {
	return probeAfter + time.Duration(p.fetchRandom.Int64N(int64(probeSpread)))
}

// wait returns when there may be work: on a signal, and after a pause, which is
// short if the last step left something undone. It returns false when the
// provider stops.
func (p *Provider) wait(done bool, pauses *backoff.Backoff) bool {
	pause := p.drawProbe()
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

// step tries to make progress and tells whether nothing is left to do. The
// store is asked for parts by watchers, and by others when fallback is set.
func (p *Provider) step(ctx context.Context, fallback bool) bool {
	p.mu.Lock()
	target, ask := p.state.pending, p.ask || p.state.inForce == nil
	p.mu.Unlock()
	if target == nil && ask {
		p.askPeers(ctx)
		if fallback {
			p.askStore(ctx)
		}
		p.mu.Lock()
		target = p.state.pending
		p.mu.Unlock()
	}
	if target == nil {
		return p.settled()
	}
	values, complete := p.collect(ctx, target, fallback)
	if !complete {
		return false
	}
	p.put(target, values)
	return p.settled()
}

// settled tells whether the daemon knows of nothing newer than what is in force.
func (p *Provider) settled() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ask && p.state.newest <= max(p.state.inForce.generation(), p.state.refused.generation()) {
		p.ask = false
	}
	return p.state.pending == nil && p.state.inForce != nil && !p.ask
}

// put validates the whole and swaps it in, or refuses it.
func (p *Provider) put(c *candidate, values map[config.Digest][]byte) {
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
