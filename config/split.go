package config

import (
	"fmt"
	"math/bits"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

const (
	// enginesPerPart bounds the mean number of engines in a part of engines. With
	// smaller parts, a change stores fewer bytes but the head is longer.
	enginesPerPart = 256
	// organisationsPerPart bounds the mean number of organisations in a part.
	organisationsPerPart = 64
)

// SplitIntoParts splits the register and the rules, which must be valid, into parts
// sorted by name. Each section becomes one part, except that engines are split by pool
// and then, like organisations, by a hash of the name. The result does not depend on
// the order of the entries.
func SplitIntoParts(reg *bronzeturnv1.Register, rules *bronzeturnv1.Rules) ([]Part, error) {
	pieces := splitRegister(reg)
	pieces = append(pieces, splitRules(rules)...)
	parts := make([]Part, 0, len(pieces))
	for _, piece := range pieces {
		part, err := encodePart(piece)
		if err != nil {
			return nil, err
		}
		parts = append(parts, part)
	}
	slices.SortFunc(parts, func(a, b Part) int { return strings.Compare(a.Name, b.Name) })
	return parts, nil
}

func encodePart(piece *bronzeturnv1.Part) (Part, error) {
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(piece)
	if err != nil {
		return Part{}, &PartError{Name: piece.GetName(), Message: "cannot be encoded", Cause: err}
	}
	if len(value) > MaxPartBytes {
		message := fmt.Sprintf("%d bytes are above the limit of %d", len(value), MaxPartBytes)
		return Part{}, &PartError{Name: piece.GetName(), Message: message}
	}
	return Part{Name: piece.GetName(), Digest: DigestOf(value), Value: value}, nil
}

func splitRegister(reg *bronzeturnv1.Register) []*bronzeturnv1.Part {
	var out []*bronzeturnv1.Part
	add := func(name string, piece *bronzeturnv1.Register) {
		out = append(out, &bronzeturnv1.Part{Name: "register." + name, Register: piece})
	}
	if list := sortedBy(reg.GetDataCentres(), (*bronzeturnv1.DataCentre).GetName); list != nil {
		add("data_centres", &bronzeturnv1.Register{DataCentres: list})
	}
	if list := sortedBy(reg.GetModels(), (*bronzeturnv1.Model).GetName); list != nil {
		add("models", &bronzeturnv1.Register{Models: list})
	}
	if list := sortedBy(reg.GetVersions(), (*bronzeturnv1.Version).GetName); list != nil {
		add("versions", &bronzeturnv1.Register{Versions: list})
	}
	if list := sortedBy(reg.GetPools(), (*bronzeturnv1.Pool).GetName); list != nil {
		add("pools", &bronzeturnv1.Register{Pools: list})
	}
	if list := sortedBy(reg.GetServices(), (*bronzeturnv1.Service).GetName); list != nil {
		add("services", &bronzeturnv1.Register{Services: list})
	}
	for bucket, list := range organisationBuckets(reg.GetOrganisations()) {
		add("organisations."+bucket, &bronzeturnv1.Register{Organisations: list})
	}
	for bucket, list := range engineBuckets(reg.GetEngines()) {
		add("engines."+bucket, &bronzeturnv1.Register{Engines: list})
	}
	return out
}

func splitRules(rules *bronzeturnv1.Rules) []*bronzeturnv1.Part {
	var out []*bronzeturnv1.Part
	add := func(name string, piece *bronzeturnv1.Rules) {
		out = append(out, &bronzeturnv1.Part{Name: "rules." + name, Rules: piece})
	}
	if list := sortedBy(rules.GetKinds(), (*bronzeturnv1.TaskKind).GetName); list != nil {
		add("kinds", &bronzeturnv1.Rules{Kinds: list})
	}
	if list := sortedBy(rules.GetWithdrawals(), (*bronzeturnv1.Withdrawal).GetVersion); list != nil {
		add("withdrawals", &bronzeturnv1.Rules{Withdrawals: list})
	}
	if list := sortedBy(rules.GetLimits(), (*bronzeturnv1.Limit).GetOrganisation); list != nil {
		add("limits", &bronzeturnv1.Rules{Limits: list})
	}
	if list := sortedBy(rules.GetRollouts(), (*bronzeturnv1.Rollout).GetVersion); list != nil {
		add("rollouts", &bronzeturnv1.Rules{Rollouts: list})
	}
	return out
}

// organisationBuckets groups organisations by a hash of their names.
func organisationBuckets(orgs []*bronzeturnv1.Organisation) map[string][]*bronzeturnv1.Organisation {
	out := make(map[string][]*bronzeturnv1.Organisation)
	count := bucketCount(len(orgs), organisationsPerPart)
	for _, org := range sortedBy(orgs, (*bronzeturnv1.Organisation).GetName) {
		bucket := bucketName(org.GetName(), count)
		out[bucket] = append(out[bucket], org)
	}
	return out
}

// engineBuckets groups engines by pool and then by a hash of their names.
func engineBuckets(engines []*bronzeturnv1.Engine) map[string][]*bronzeturnv1.Engine {
	sizes := make(map[string]int)
	for _, engine := range engines {
		sizes[engine.GetPool()]++
	}
	out := make(map[string][]*bronzeturnv1.Engine)
	for _, engine := range sortedBy(engines, (*bronzeturnv1.Engine).GetName) {
		pool := engine.GetPool()
		bucket := pool + "." + bucketName(engine.GetName(), bucketCount(sizes[pool], enginesPerPart))
		out[bucket] = append(out[bucket], engine)
	}
	return out
}

// bucketCount returns the number of buckets for a mean of at most perBucket entries,
// rounded up to a power of two, so that a growing section is split differently only
// when it doubles.
func bucketCount(entries, perBucket int) int {
	buckets := (entries + perBucket - 1) / perBucket
	if buckets <= 1 {
		return 1
	}
	return 1 << bits.Len(uint(buckets-1))
}

func bucketName(name string, count int) string {
	return fmt.Sprintf("%03x", xxhash.Sum64String(name)%uint64(count))
}

// sortedBy returns a copy of items sorted by name.
func sortedBy[T any](items []T, name func(T) string) []T {
	out := slices.Clone(items)
	slices.SortStableFunc(out, func(a, b T) int { return strings.Compare(name(a), name(b)) })
	return out
}
