package config

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"runtime"
	"testing"

	qt "github.com/frankban/quicktest"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/objectstore/memstore"
)

// The size that the configuration is designed for.
const (
	targetEngines       = 5300
	targetOrganisations = 300
	targetModels        = 9
	targetVersions      = 36
	targetPools         = 16
	targetDataCentres   = 4
)

// targetSize returns a configuration of the target size.
func targetSize(tb testing.TB) (*bronzeturnv1.Register, *bronzeturnv1.Rules) {
	_, rules := loadExample(tb, "andina")
	reg := &bronzeturnv1.Register{}
	for i := range targetDataCentres {
		reg.DataCentres = append(reg.DataCentres, &bronzeturnv1.DataCentre{Name: fmt.Sprintf("centre-%d", i), Region: fmt.Sprintf("region-%d", i/2)})
	}
	for i := range targetPools {
		reg.Pools = append(reg.Pools, &bronzeturnv1.Pool{Name: fmt.Sprintf("pool-%02d", i), ChecksFencing: i%2 == 0})
	}
	for i := range targetModels {
		reg.Models = append(reg.Models, &bronzeturnv1.Model{Name: fmt.Sprintf("model-%d", i)})
	}
	for i := range targetVersions {
		v := &bronzeturnv1.Version{
			Name: versionName(i), Model: fmt.Sprintf("model-%d", i%targetModels),
			PromptPriceMicros: 100000, CompletionPriceMicros: 400000, PriorQuality: 0.8,
		}
		for _, kind := range rules.Kinds {
			v.PriorQualityByKind = append(v.PriorQualityByKind, &bronzeturnv1.KindQuality{Kind: kind.Name, Quality: 0.7})
		}
		reg.Versions = append(reg.Versions, v)
	}
	for i := range targetEngines {
		reg.Engines = append(reg.Engines, targetEngine(i))
	}
	for i := range targetOrganisations {
		digest := sha256.Sum256([]byte{byte(i), byte(i >> 8)})
		org := &bronzeturnv1.Organisation{Name: fmt.Sprintf("organisation-%03d", i), KeySha256: []string{hex.EncodeToString(digest[:])}}
		for v := range 12 {
			org.AllowedVersions = append(org.AllowedVersions, versionName((i+v)%targetVersions))
		}
		reg.Organisations = append(reg.Organisations, org)
	}
	rules.Withdrawals, rules.Limits, rules.Rollouts = nil, nil, nil
	for i := range rules.Kinds {
		rules.Kinds[i].PreferredVersions = nil
	}
	for _, org := range reg.Organisations {
		rules.Limits = append(rules.Limits, &bronzeturnv1.Limit{Organisation: org.Name, RequestsPerSecond: 10, ConcurrentRequests: 100})
	}
	return reg, rules
}

func versionName(i int) string { return fmt.Sprintf("model-%d@%d", i%targetModels, i/targetModels+1) }

func targetEngine(i int) *bronzeturnv1.Engine {
	return &bronzeturnv1.Engine{
		Name: fmt.Sprintf("engine-%04d", i), Pool: fmt.Sprintf("pool-%02d", i%targetPools),
		DataCentre: fmt.Sprintf("centre-%d", i%targetDataCentres), Host: fmt.Sprintf("backend-%04d", i),
		Address:  fmt.Sprintf("10.%d.%d.%d:8000", i/65536, i/256%256, i%256),
		Versions: []string{versionName(i % targetVersions), versionName((i + 9) % targetVersions)}, Slots: 16, TokensPerSecond: 60,
	}
}

// Bounds on the cost of one change at the target size.
const (
	// A part of engines holds about 166 engines of 98 bytes.
	maxEngineChangeBytes = 17 << 10
	// The head refers to 46 parts with about 68 bytes each.
	maxTargetHeadBytes = 3500
	// A daemon receives the head from several peers, and the part once.
	headCopies       = 3
	maxReceivedBytes = 26 << 10
	// The part and the head.
	maxChangeWrites = 2
	// The head; the publisher has all parts cached.
	maxChangeReads = 1
	// The heap that a snapshot takes in a daemon.
	maxSnapshotBytes = 8 << 20
)

func TestCostOfOneChangeAtTargetSize(t *testing.T) {
	for _, tt := range []struct {
		name   string
		change func(reg *bronzeturnv1.Register) Change
		bytes  int
	}{
		{"engine drained", func(reg *bronzeturnv1.Register) Change {
			reg.Engines[1234].Slots = 1
			return Change{Register: reg}
		}, maxEngineChangeBytes},
		{"version withdrawn", func(*bronzeturnv1.Register) Change {
			return Change{Withdraw: &bronzeturnv1.Withdrawal{Version: versionName(3), Reason: "bad"}}
		}, 128},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			store := memstore.New()
			p := newTestPublisher(store)
			reg, rules := targetSize(t)
			first, err := p.Apply(t.Context(), Change{Register: reg, Rules: rules})
			c.Assert(err, qt.IsNil)
			_, err = p.Read(t.Context())
			c.Assert(err, qt.IsNil)
			before := store.Counts()
			result, err := p.Apply(t.Context(), tt.change(reg))
			c.Assert(err, qt.IsNil)
			after := store.Counts()
			t.Logf("parts %d, first %d bytes, head %d bytes, change %d part of %d bytes",
				first.Parts, first.NewBytes, result.HeadBytes, result.NewParts, result.NewBytes)
			c.Assert(result.NewParts, qt.Equals, 1)
			c.Assert(result.NewBytes <= tt.bytes, qt.IsTrue, qt.Commentf("%d bytes", result.NewBytes))
			c.Assert(result.HeadBytes <= maxTargetHeadBytes, qt.IsTrue, qt.Commentf("%d bytes", result.HeadBytes))
			received := headCopies*result.HeadBytes + result.NewBytes
			c.Assert(received <= maxReceivedBytes, qt.IsTrue, qt.Commentf("%d bytes", received))
			c.Assert(after.Writes-before.Writes <= maxChangeWrites, qt.IsTrue)
			c.Assert(after.Reads-before.Reads <= maxChangeReads, qt.IsTrue)
		})
	}
}

func TestPartsStayFarBelowTheStoreLimit(t *testing.T) {
	reg, rules := targetSize(t)
	parts, err := SplitIntoParts(reg, rules)
	qt.Assert(t, err, qt.IsNil)
	for _, part := range parts {
		qt.Assert(t, len(part.Value) <= 64<<10, qt.IsTrue, qt.Commentf("%s has %d bytes", part.Name, len(part.Value)))
	}
}

func TestSnapshotMemoryAtTargetSize(t *testing.T) {
	reg, rules := targetSize(t)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	s, err := NewSnapshot(1, reg, rules)
	qt.Assert(t, err, qt.IsNil)
	runtime.GC()
	runtime.ReadMemStats(&after)
	held := int64(after.HeapAlloc) - int64(before.HeapAlloc)
	t.Logf("snapshot holds %d bytes", held)
	qt.Assert(t, held <= maxSnapshotBytes, qt.IsTrue, qt.Commentf("%d bytes", held))
	runtime.KeepAlive(s)
	runtime.KeepAlive(reg)
	runtime.KeepAlive(rules)
}

func BenchmarkNewSnapshotAtTargetSize(b *testing.B) {
	reg, rules := targetSize(b)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := NewSnapshot(1, reg, rules); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkBuildAtTargetSize(b *testing.B) {
	reg, rules := targetSize(b)
	parts, err := SplitIntoParts(reg, rules)
	qt.Assert(b, err, qt.IsNil)
	head := newHead(Change{}, nil, parts)
	values := make(map[Digest][]byte)
	for _, part := range parts {
		values[part.Digest] = part.Value
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := BuildSnapshot(head, values); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkAuthenticate(b *testing.B) {
	s := exampleSnapshot(b, "andina")
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := s.Authenticate("key-crate-yard"); !ok {
			b.Fatal("refused")
		}
	}
}
