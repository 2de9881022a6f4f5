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
	// callTimeout limits one call to a peer or the store.
	callTimeout = 2 * time.Second
	// peersPerRound is the maximum number of peers queried in one round.
	peersPerRound = 3
	// maxFetchBytes limits the total size of the parts in one response to a peer.
	maxFetchBytes = 1 << 20
	// maxResponseBytes limits the size of a response from a peer.
	maxResponseBytes = maxFetchBytes + config.MaxPartBytes + 64<<10
	// maxNewsAgeMillis limits the news age that a peer may report (see Status.NewsAge).
	maxNewsAgeMillis = 365 * 24 * 3600 * 1000
	// storeReadRate, in calls per second, and storeReadBurst limit the store reads of a
	// daemon that does not watch the store.
	storeReadRate  = 2
	storeReadBurst = 32
)

// collectParts returns the parts of the head. It takes those that the daemon holds, and fetches
// the others from peers and then, if store is set, from the store. A watcher fetches from the
// store first. It returns false if parts are still missing.
func (p *Provider) collectParts(ctx context.Context, c *candidate, store bool) (map[config.Digest][]byte, bool) {
	values, missing := p.heldParts(c)
	if p.watcher.Watching() {
		missing = p.partsFromStore(ctx, values, missing)
	}
	if len(missing) > 0 {
		missing = p.partsFromPeers(ctx, values, missing)
	}
	if len(missing) > 0 && store && !p.watcher.Watching() {
		missing = p.partsFromStore(ctx, values, missing)
	}
	p.retainParts(c, values)
	return values, len(missing) == 0
}

// heldParts returns the parts of the head that the daemon holds and the digests of
// those that it does not hold.
func (p *Provider) heldParts(c *candidate) (map[config.Digest][]byte, []config.Digest) {
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

// retainParts keeps the parts of an incomplete head for the next round and for
// requests of peers.
func (p *Provider) retainParts(c *candidate, values map[config.Digest][]byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state.pending == c && len(values) < len(c.head.GetParts()) {
		p.fetched = values
	}
}

// partsFromStore reads parts one by one and returns the digests still missing.
func (p *Provider) partsFromStore(ctx context.Context, values map[config.Digest][]byte, missing []config.Digest) []config.Digest {
	var left []config.Digest
	for i, digest := range missing {
		obj, err := p.readStore(ctx, digest.Key())
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

// readStore reads an object. Reads of a daemon that does not watch the store are rate-limited.
func (p *Provider) readStore(ctx context.Context, key string) (objectstore.Object, error) {
	if !p.watcher.Watching() {
		if err := p.storeReads.Wait(ctx); err != nil {
			return objectstore.Object{}, err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return p.store.Get(ctx, key)
}

// partsFromPeers fetches parts from a few peers and returns the digests still missing.
func (p *Provider) partsFromPeers(ctx context.Context, values map[config.Digest][]byte, missing []config.Digest) []config.Digest {
	for _, name := range p.samplePeers() {
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
		missing = p.acceptParts(values, missing, found)
	}
	return missing
}

// acceptParts adds those of the found parts that match a missing digest to values, and returns
// the digests still missing.
func (p *Provider) acceptParts(values map[config.Digest][]byte, missing []config.Digest, found [][]byte) []config.Digest {
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

// samplePeers returns a few candidates in random order. It is called by installLoop only.
func (p *Provider) samplePeers() []string {
	names := append([]string(nil), p.peers.Candidates()...)
	p.fetchRandom.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names[:min(len(names), peersPerRound)]
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

// queryPeers queries a few peers for their heads.
func (p *Provider) queryPeers(ctx context.Context) {
	var queries sync.WaitGroup
	for _, name := range p.samplePeers() {
		client, ok := p.dial(name)
		if !ok {
			continue
		}
		queries.Go(func() {
			if err := p.queryPeer(ctx, name, client); err != nil {
				p.log.Debug().Str("peer", name).Err(err).Msg("head not read from peer")
			}
		})
	}
	queries.Wait()
}

func (p *Provider) queryPeer(ctx context.Context, name string, client bronzeturnv1connect.ConfigurationServiceClient) error {
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
		p.recordPeerAnswer(name, start)
	}
	if c.generation() == p.state.inForce.generation() {
		p.state.peerConfirmed = latest(p.state.peerConfirmed, start.Add(-age))
	}
	return nil
}

// queryStore reads the head once.
func (p *Provider) queryStore(ctx context.Context) {
	start := time.Now()
	obj, err := p.readStore(ctx, config.HeadKey)
	if err != nil {
		if !errors.Is(err, objectstore.ErrNotFound) {
			p.log.Debug().Err(err).Msg("head not read from store")
		}
		return
	}
	p.handleStoreHead(obj, start)
}
