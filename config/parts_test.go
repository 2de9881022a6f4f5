package config

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

func TestSplitDependsOnContentOnly(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := qt.New(t)
		reg, rules := loadExample(t, rapid.SampledFrom([]string{"campina-verde", "andina"}).Draw(rt, "example"))
		want, err := SplitIntoParts(reg, rules)
		c.Assert(err, qt.IsNil)
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 0))
		random.Shuffle(len(reg.Engines), func(i, j int) { reg.Engines[i], reg.Engines[j] = reg.Engines[j], reg.Engines[i] })
		random.Shuffle(len(reg.Organisations), func(i, j int) {
			reg.Organisations[i], reg.Organisations[j] = reg.Organisations[j], reg.Organisations[i]
		})
		random.Shuffle(len(rules.Kinds), func(i, j int) { rules.Kinds[i], rules.Kinds[j] = rules.Kinds[j], rules.Kinds[i] })
		got, err := SplitIntoParts(reg, rules)
		c.Assert(err, qt.IsNil)
		c.Assert(identities(got), qt.DeepEquals, identities(want))
		wholeReg, wholeRules, err := AssembleParts(got)
		c.Assert(err, qt.IsNil)
		again, err := SplitIntoParts(wholeReg, wholeRules)
		c.Assert(err, qt.IsNil)
		c.Assert(identities(again), qt.DeepEquals, identities(want))
	})
}

// identities returns the name and the digest of each part. The digest stands for the
// value, as AssembleParts refuses a part whose digest does not match.
func identities(parts []Part) []string {
	var out []string
	for _, part := range parts {
		out = append(out, part.Name+" "+part.Digest.String())
	}
	return out
}

func TestAssembleRefusesAlteredParts(t *testing.T) {
	reg, rules := loadExample(t, "andina")
	parts, err := SplitIntoParts(reg, rules)
	qt.Assert(t, err, qt.IsNil)
	foreign, err := encodePart(&bronzeturnv1.Part{Name: "other"})
	qt.Assert(t, err, qt.IsNil)
	for name, bad := range map[string]Part{
		"content": {Name: parts[0].Name, Digest: parts[0].Digest, Value: append([]byte("x"), parts[0].Value...)},
		"bytes":   {Name: "x", Digest: DigestOf([]byte{0xff}), Value: []byte{0xff}},
		"name":    {Name: "x", Digest: foreign.Digest, Value: foreign.Value},
	} {
		t.Run(name, func(t *testing.T) {
			_, _, err := AssembleParts(append([]Part{bad}, parts[1:]...))
			var refused *PartError
			qt.Assert(t, errors.As(err, &refused), qt.IsTrue)
			qt.Assert(t, refused.Name, qt.Equals, bad.Name)
		})
	}
}

func TestDecodeHeadRefuses(t *testing.T) {
	ref := func(name string, size uint32) *bronzeturnv1.PartRef {
		return &bronzeturnv1.PartRef{Name: name, Sha256: make([]byte, 32), Size: size}
	}
	for name, edit := range map[string]func(h *bronzeturnv1.Head){
		"generation zero":   func(h *bronzeturnv1.Head) { h.Generation = 0 },
		"no nonce":          func(h *bronzeturnv1.Head) { h.Nonce = nil },
		"parts twice":       func(h *bronzeturnv1.Head) { h.Parts = append(h.Parts, ref("a", 1), ref("a", 1)) },
		"part without name": func(h *bronzeturnv1.Head) { h.Parts = append(h.Parts, ref("", 1)) },
		"short digest": func(h *bronzeturnv1.Head) {
			h.Parts = append(h.Parts, &bronzeturnv1.PartRef{Name: "a", Sha256: []byte{1}})
		},
		"huge part": func(h *bronzeturnv1.Head) { h.Parts = append(h.Parts, ref("a", MaxPartBytes+1)) },
		"huge total": func(h *bronzeturnv1.Head) {
			for i := range 40 {
				h.Parts = append(h.Parts, ref(fmt.Sprintf("p%02d", i), MaxPartBytes))
			}
		},
		"many nonces": func(h *bronzeturnv1.Head) { h.PreviousNonces = make([][]byte, maxPreviousNonces+1) },
	} {
		t.Run(name, func(t *testing.T) {
			head := &bronzeturnv1.Head{Generation: 1, Nonce: make([]byte, nonceBytes)}
			good, err := proto.Marshal(head)
			qt.Assert(t, err, qt.IsNil)
			_, err = DecodeHead(good)
			qt.Assert(t, err, qt.IsNil)
			edit(head)
			bad, err := proto.Marshal(head)
			qt.Assert(t, err, qt.IsNil)
			_, err = DecodeHead(bad)
			var refused *HeadError
			qt.Assert(t, errors.As(err, &refused), qt.IsTrue, qt.Commentf("%v", err))
		})
	}
}

func FuzzHead(f *testing.F) {
	reg, rules := loadExample(f, "andina")
	parts, err := SplitIntoParts(reg, rules)
	qt.Assert(f, err, qt.IsNil)
	value, err := EncodeHead(newHead(Change{AppliedBy: "ana"}, nil, parts))
	qt.Assert(f, err, qt.IsNil)
	f.Add(value, parts[0].Value)
	f.Add([]byte{}, []byte{})
	f.Add([]byte{8, 1, 18, 0}, []byte{18, 2, 10, 0})
	f.Fuzz(func(t *testing.T, headValue, partValue []byte) {
		head, err := DecodeHead(headValue)
		if err != nil {
			var refused *HeadError
			qt.Assert(t, errors.As(err, &refused), qt.IsTrue)
			head = &bronzeturnv1.Head{Generation: 1}
		}
		digest := DigestOf(partValue)
		head.Parts = []*bronzeturnv1.PartRef{{Name: "a", Sha256: digest[:], Size: uint32(len(partValue))}}
		_, err = BuildSnapshot(head, map[Digest][]byte{digest: partValue})
		var badPart *PartError
		var invalid *ValidationError
		qt.Assert(t, errors.As(err, &badPart) || errors.As(err, &invalid), qt.IsTrue, qt.Commentf("%v", err))
	})
}
