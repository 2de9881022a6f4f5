package quality

import (
	"slices"

	"google.golang.org/protobuf/proto"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// maxPublishers bounds the list of publishers in a publication.
const maxPublishers = 8

// encode returns the table value with the evidence of one version and the
// publishers that contributed to it, newest first.
func encode(all map[key]moments, publishers []*bronzeturnv1.Publisher) ([]byte, error) {
	message := &bronzeturnv1.PublishedQuality{Publishers: publishers}
	for k, m := range all {
		message.Kinds = append(message.Kinds, &bronzeturnv1.PublishedKind{
			Kind: k.kind, Accepted: k.accepted, Sum: float32(m.sum), Weight: float32(m.weight),
		})
	}
	slices.SortFunc(message.Kinds, func(a, b *bronzeturnv1.PublishedKind) int {
		return compareKeys(key{kind: a.Kind, accepted: a.Accepted}, key{kind: b.Kind, accepted: b.Accepted})
	})
	return proto.MarshalOptions{Deterministic: true}.Marshal(message)
}

// decode is the inverse of encode. It skips kinds with invalid evidence.
func decode(version string, value []byte) (map[key]moments, []*bronzeturnv1.Publisher, error) {
	message := &bronzeturnv1.PublishedQuality{}
	if err := proto.Unmarshal(value, message); err != nil {
		return nil, nil, err
	}
	all := make(map[key]moments, len(message.Kinds))
	for _, k := range message.Kinds {
		m := moments{sum: float64(k.GetSum()), weight: float64(k.GetWeight())}
		if m.valid() {
			all[key{version, k.GetKind(), k.GetAccepted()}] = m
		}
	}
	return all, message.GetPublishers(), nil
}

// valid reports whether m can be a sum of scores between 0 and 1.
func (m moments) valid() bool {
	const rounding = 1e-3
	return m.sum >= 0 && m.weight >= 0 && m.sum <= m.weight*(1+rounding)+rounding && m.weight < 1e9
}

// prependPublisher returns the list of publishers for a new publication by head,
// with at most one entry per aggregator.
func prependPublisher(publishers []*bronzeturnv1.Publisher, head *bronzeturnv1.Publisher) []*bronzeturnv1.Publisher {
	next := []*bronzeturnv1.Publisher{head}
	for _, p := range publishers {
		if p.GetAggregator() != head.GetAggregator() && len(next) < maxPublishers {
			next = append(next, p)
		}
	}
	return next
}

// buildsOn reports whether a publication with these publishers includes the
// promised one. If the list is full, an aggregator that is missing from it may
// have been cut off; its publications then count as included, so that no rating
// is counted twice.
func buildsOn(publishers []*bronzeturnv1.Publisher, promise *bronzeturnv1.Publisher) bool {
	for _, p := range publishers {
		if p.GetAggregator() == promise.GetAggregator() {
			return p.GetPublication() >= promise.GetPublication()
		}
	}
	return len(publishers) >= maxPublishers
}

// lastPublishedBy reports whether the aggregator wrote the newest publication.
func lastPublishedBy(publishers []*bronzeturnv1.Publisher, aggregator uint64) bool {
	return len(publishers) > 0 && publishers[0].GetAggregator() == aggregator
}
