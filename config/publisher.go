package config

import (
	"context"
	crand "crypto/rand"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/types/known/timestamppb"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// rebaseAttempts bounds the attempts at a rebasable change, each on the generation
// in force.
const rebaseAttempts = 5

// PartSource supplies parts, so that they need not be read from the store. The parts
// that it returns are checked against their digests.
type PartSource interface {
	// Parts returns the stored bytes of those of the parts that it has.
	Parts(ctx context.Context, digests []Digest) map[Digest][]byte
}

// PublisherOptions configures a Publisher.
type PublisherOptions struct {
	Store Store
	// Random adds jitter to retries. It must not be shared. If it is nil, the
	// publisher creates its own.
	Random *rand.Rand
	// Parts is asked for parts before the store. It may be nil.
	Parts PartSource
}

// Publisher publishes changes of the configuration. It is not safe for concurrent
// use; any number of publishers may use the same store.
type Publisher struct {
	store  retryingStore
	source PartSource
	// known caches the parts of the last head that was read.
	known map[Digest][]byte
}

func NewPublisher(o PublisherOptions) *Publisher {
	if o.Random == nil {
		o.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return &Publisher{store: retryingStore{store: o.Store, random: o.Random}, source: o.Parts}
}

// StoredConfig is a configuration as read from the store.
type StoredConfig struct {
	// Head is nil when there is no configuration yet.
	Head     *bronzeturnv1.Head
	Revision uint64
	Parts    []Part
	Register *bronzeturnv1.Register
	Rules    *bronzeturnv1.Rules
}

// Apply publishes the change atomically. It fails with a *ValidationError if the
// resulting configuration would be invalid, a *ConflictError if another change was
// published first, an *OutcomeError if it is unknown whether the change took effect,
// or an error of the object API.
//
// After a conflict, a change that replaces the register or the rules, or that states
// its base, is not retried, as it would overwrite the other operator's change. A
// withdrawal alone is, since it means the same on any generation.
func (p *Publisher) Apply(ctx context.Context, change Change) (Result, error) {
	if err := change.validate(); err != nil {
		return Result{}, err
	}
	for attempt := 1; ; attempt++ {
		result, err := p.attempt(ctx, change)
		var lost *ConflictError
		if !errors.As(err, &lost) || !change.rebasable() || attempt == rebaseAttempts {
			return result, err
		}
	}
}

// attempt applies the change to the configuration in force and tries to publish the
// result.
func (p *Publisher) attempt(ctx context.Context, change Change) (Result, error) {
	cur, err := p.Read(ctx)
	if err != nil {
		return Result{}, err
	}
	base := cur.Head.GetGeneration()
	if change.Base != nil && *change.Base != base {
		return Result{}, newConflictError(*change.Base, cur.Head)
	}
	reg, rules := change.apply(cur.Register, cur.Rules)
	if err := Validate(reg, rules); err != nil {
		return Result{}, err
	}
	wanted, err := SplitIntoParts(reg, rules)
	if err != nil {
		return Result{}, err
	}
	parts, fresh, err := reuse(cur.Parts, wanted, base)
	if err != nil {
		return Result{}, err
	}
	for _, part := range fresh {
		if err := p.store.ensure(ctx, part.Digest.Key(), part.Value); err != nil {
			return Result{}, fmt.Errorf("store part %s: %w", part.Name, err)
		}
	}
	return p.publish(ctx, cur, newHead(change, cur.Head, parts), fresh)
}

// Read returns the configuration in force from the store.
func (p *Publisher) Read(ctx context.Context) (StoredConfig, error) {
	obj, err := p.store.get(ctx, HeadKey)
	if err != nil {
		return StoredConfig{}, fmt.Errorf("read head: %w", err)
	}
	if obj.Revision == 0 {
		return StoredConfig{}, nil
	}
	head, err := DecodeHead(obj.Value)
	if err != nil {
		return StoredConfig{}, err
	}
	values, err := p.values(ctx, head)
	if err != nil {
		return StoredConfig{}, err
	}
	parts, err := PartsOf(head, values)
	if err != nil {
		return StoredConfig{}, err
	}
	reg, rules, err := AssembleParts(parts)
	if err != nil {
		return StoredConfig{}, err
	}
	p.known = values
	return StoredConfig{Head: head, Revision: obj.Revision, Parts: parts, Register: reg, Rules: rules}, nil
}

// values returns the stored bytes of the head's parts: from the last read, then from
// the part source, then from the store.
func (p *Publisher) values(ctx context.Context, head *bronzeturnv1.Head) (map[Digest][]byte, error) {
	values := make(map[Digest][]byte, len(head.GetParts()))
	var missing []Digest
	for _, ref := range head.GetParts() {
		digest := RefDigest(ref)
		if value, ok := p.known[digest]; ok {
			values[digest] = value
		} else {
			missing = append(missing, digest)
		}
	}
	if p.source != nil && len(missing) > 0 {
		maps.Copy(values, p.fromSource(ctx, missing))
	}
	for _, digest := range missing {
		if _, ok := values[digest]; ok {
			continue
		}
		obj, err := p.store.get(ctx, digest.Key())
		if err != nil {
			return nil, fmt.Errorf("read part %s: %w", digest, err)
		}
		if obj.Revision != 0 {
			values[digest] = obj.Value
		}
	}
	return values, nil
}

// fromSource returns the parts from the part source that match their digests.
func (p *Publisher) fromSource(ctx context.Context, digests []Digest) map[Digest][]byte {
	found := p.source.Parts(ctx, digests)
	maps.DeleteFunc(found, func(digest Digest, value []byte) bool {
		return DigestOf(value) != digest
	})
	return found
}

// reuse keeps the stored parts whose content is unchanged and sets the base
// generation of all others to the one in force. It returns all parts, and the fresh
// ones, which are not stored yet.
func reuse(have, wanted []Part, base uint64) (parts, fresh []Part, err error) {
	stored := make(map[Digest]Part, len(have))
	for _, part := range have {
		content, err := withBaseGeneration(part, 0)
		if err != nil {
			return nil, nil, err
		}
		stored[content.Digest] = part
	}
	for _, part := range wanted {
		if old, ok := stored[part.Digest]; ok {
			parts = append(parts, old)
			continue
		}
		part, err := withBaseGeneration(part, base)
		if err != nil {
			return nil, nil, err
		}
		parts = append(parts, part)
		fresh = append(fresh, part)
	}
	return parts, fresh, nil
}

func newHead(change Change, old *bronzeturnv1.Head, parts []Part) *bronzeturnv1.Head {
	nonce := make([]byte, nonceBytes)
	// Read of crypto/rand never fails.
	_, _ = crand.Read(nonce)
	head := &bronzeturnv1.Head{
		Generation: old.GetGeneration() + 1,
		AppliedBy:  change.AppliedBy,
		AppliedAt:  timestamppb.New(time.Now()),
		Note:       change.Note,
		Nonce:      nonce,
	}
	if old != nil {
		previous := slices.Insert(slices.Clone(old.GetPreviousNonces()), 0, old.GetNonce())
		head.PreviousNonces = previous[:min(len(previous), maxPreviousNonces)]
	}
	for _, part := range parts {
		digest := part.Digest
		head.Parts = append(head.Parts, &bronzeturnv1.PartRef{
			Name: part.Name, Sha256: digest[:], Size: uint32(len(part.Value)),
		})
	}
	return head
}
