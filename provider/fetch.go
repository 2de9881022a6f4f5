package provider

import (
	"context"
	"errors"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/bronzeturn/bronzeturn/config"
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1/bronzeturnv1connect"
	"github.com/bronzeturn/bronzeturn/objectstore"
)

const (
	// callTimeout bounds one call of a peer or the store.
	callTimeout = 2 * time.Second
	// peersAsked bounds the peers asked in one round.
	peersAsked = 3
	// maxFetchBytes bounds the parts in one answer of a peer.
	maxFetchBytes = 1 << 20
	// maxResponseBytes bounds the answers read from a peer.
	maxResponseBytes = maxFetchBytes + config.MaxPartBytes + 64<<10
	// maxNewsAgeMillis bounds the age of news that a peer may report.
	maxNewsAgeMillis = 365 * 24 * 3600 * 1000
	// storeReadRate and storeReadBurst bound the reads of one daemon that does
	// not watch the store, in calls a second.
	storeReadRate  = 2
	storeReadBurst = 32
)

// collect returns the parts of the head: from what is in force, then from peers
// and, if store is set, from the store. A watcher asks the store first. It reports false if some are still missing.
func (p *Provider) collect(ctx context.Context, c *candidate, store bool) (map[config.Digest][]byte, bool) {
	values, missing := p.known(c)
	if p.watcher.Watching() {
		missing = p.partsFromStore(ctx, values, missing)
	}
	if len(missing) > 0 {
		missing = p.partsFromPeers(ctx, values, missing)
	}
	if len(missing) > 0 && store && !p.watcher.Watching() {
		missing = p.partsFromStore(ctx, values, missing)
	}
	p.keep(c, values)
	return values, len(missing) == 0
}

// known returns the parts of the head that the daemon holds and the digests of
// those it does not.
func (p *Provider) known(c *candidate) (map[config.Digest][]byte, []config.Digest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	values := make(map[config.Digest][]byte, len(c.head.GetParts()))
	var missing []config.Digest
	for _, ref := range c.head.GetParts() {
		digest := config.RefDigest(ref)
		if value, ok := p.values[digest]; ok {
			values[digest] = value
		} else if value, ok := p.fetched[digest]; ok {
			values[digest] = value
		} else {
			missing = append(missing, digest)
		}
	}
	return values, missing
}

// keep holds on to the parts of an incomplete head for the next round and for
// peers that ask.
func (p *Provider) keep(c *candidate, values map[config.Digest][]byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state.pending == c && len(values) < len(c.head.GetParts()) {
		p.fetched = values
	}
}

// partsFromStore reads parts one by one and returns what is still missing.
func (p *Provider) partsFromStore(ctx context.Context, values map[config.Digest][]byte, missing []config.Digest) []config.Digest {
	var left []config.Digest
	for i, digest := range missing {
		obj, err := p.read(ctx, digest.Key())
		if err != nil {
			p.log.Debug().Str("digest", digest.String()).Err(err).Msg("part not read from store")
			return append(left, missing[i:]...)
		}
		if config.DigestOf(obj.Value) != digest {
			p.metrics.badParts.Inc()
			left = append(left, digest)
			continue
		}
		p.metrics.parts.WithLabelValues(string(SourceStore)).Inc()
		values[digest] = obj.Value
	}
	return left
}

// read reads an object within the daemon's share of store reads.
func (p *Provider) read(ctx context.Context, key string) (objectstore.Object, error) {
	if !p.watcher.Watching() {
		if err := p.storeReads.Wait(ctx); err != nil {
			return objectstore.Object{}, err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return p.store.Get(ctx, key)
}

// partsFromPeers asks a few peers and returns what is still missing.
func (p *Provider) partsFromPeers(ctx context.Context, values map[config.Digest][]byte, missing []config.Digest) []config.Digest {
	for _, name := range p.draw() {
		if len(missing) == 0 {
			break
		}
		client, ok := p.dial(name)
		if !ok {
			continue
		}
		found, err := fetchParts(ctx, client, missing)
		if err != nil {
			p.log.Debug().Str("peer", name).Err(err).Msg("parts not read from peer")
			continue
		}
		missing = p.take(values, missing, found)
	}
	return missing
}

// take keeps those of the found parts that are missing and match their digest.
func (p *Provider) take(values map[config.Digest][]byte, missing []config.Digest, found [][]byte) []config.Digest {
	offered := make(map[config.Digest][]byte, len(found))
	for _, value := range found {
		offered[config.DigestOf(value)] = value
	}
	var left []config.Digest
	for _, digest := range missing {
		value, ok := offered[digest]
		if !ok {
			left = append(left, digest)
			continue
		}
		p.metrics.parts.WithLabelValues(string(SourcePeer)).Inc()
		values[digest] = value
	}
	return left
}

// draw returns a few candidates in random order. The install loop alone calls it.
func (p *Provider) draw() []string {
	names := append([]string(nil), p.peers.Candidates()...)
	p.fetchRandom.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names[:min(len(names), peersAsked)]
}

func (p *Provider) dial(name string) (bronzeturnv1connect.ConfigurationServiceClient, bool) {
	client, url, ok := p.peers.Dial(name)
	if !ok {
		return nil, false
	}
	return bronzeturnv1connect.NewConfigurationServiceClient(client, url, connect.WithReadMaxBytes(maxResponseBytes)), true
}

func fetchParts(ctx context.Context, client bronzeturnv1connect.ConfigurationServiceClient, digests []config.Digest) ([][]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request := &bronzeturnv1.FetchPartsRequest{}
	for _, digest := range digests {
		request.Sha256S = append(request.Sha256S, digest[:])
	}
	response, err := client.FetchParts(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, err
	}
	return response.Msg.GetParts(), nil
}

// askPeers asks a few peers for their heads.
func (p *Provider) askPeers(ctx context.Context) {
	var asking sync.WaitGroup
	for _, name := range p.draw() {
		client, ok := p.dial(name)
		if !ok {
			continue
		}
		asking.Go(func() {
			if err := p.askPeer(ctx, name, client); err != nil {
				p.log.Debug().Str("peer", name).Err(err).Msg("head not read from peer")
			}
		})
	}
	asking.Wait()
}

func (p *Provider) askPeer(ctx context.Context, name string, client bronzeturnv1connect.ConfigurationServiceClient) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	start := time.Now()
	response, err := client.Current(ctx, connect.NewRequest(&bronzeturnv1.CurrentRequest{}))
	if err != nil {
		return err
	}
	if len(response.Msg.GetHead()) == 0 {
		return nil
	}
	c, err := decodeCandidate(response.Msg.GetHead(), SourcePeer)
	if err != nil {
		p.reject(SourcePeer, response.Msg.GetHead(), err)
		return err
	}
	p.offer(c)
	age := time.Duration(min(response.Msg.GetNewsAgeMs(), maxNewsAgeMillis)) * time.Millisecond
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state.confirmPeer(c.generation(), age, start)
	if c.generation() <= p.state.inForce.generation() {
		p.noteAsked(name, start)
	}
	if c.generation() == p.state.inForce.generation() {
		p.state.firstHand = latest(p.state.firstHand, start.Add(-age))
	}
	return nil
}

// askStore reads the head once.
func (p *Provider) askStore(ctx context.Context) {
	start := time.Now()
	obj, err := p.read(ctx, config.HeadKey)
	if err != nil {
		if !errors.Is(err, objectstore.ErrNotFound) {
			p.log.Debug().Err(err).Msg("head not read from store")
		}
		return
	}
	p.fromStore(obj, start)
}
