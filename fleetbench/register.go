package fleetbench

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/bronzeturn/bronzeturn/config"
	"github.com/bronzeturn/bronzeturn/examples"
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// Size is the size of a register.
type Size struct {
	Engines, Pools, Organisations, Models, Versions, DataCentres int
}

// Today is about the size of one of the deployments of today.
func Today() Size {
	return Size{Engines: 12, Pools: 2, Organisations: 10, Models: 2, Versions: 4, DataCentres: 3}
}

// Target is the size that the design is made for.
func Target() Size {
	return Size{Engines: 5300, Pools: 16, Organisations: 300, Models: 9, Versions: 36, DataCentres: 4}
}

// Properties of the generated entries.
const (
	promptPrice     = 100_000
	completionPrice = 400_000
	allowedVersions = 12
	// exampleRules gives the task kinds.
	exampleRules = "andina/rules.yaml"
)

func (s Size) validate() error {
	if min(s.Engines, s.Pools, s.Organisations, s.Models, s.Versions, s.DataCentres) < 1 {
		return fmt.Errorf("%w: every part of the register needs an entry", ErrOptions)
	}
	return nil
}

// Generate returns the register and the rules of a size, always the same ones.
// Engines have made-up addresses.
func Generate(s Size) (*bronzeturnv1.Register, *bronzeturnv1.Rules, error) {
	data, err := examples.Files.ReadFile(exampleRules)
	if err != nil {
		return nil, nil, fmt.Errorf("example rules: %w", err)
	}
	example, err := config.DecodeRules(exampleRules, data)
	if err != nil {
		return nil, nil, err
	}
	rules := &bronzeturnv1.Rules{Kinds: example.GetKinds()}
	for _, kind := range rules.GetKinds() {
		kind.PreferredVersions = nil
	}
	r := &bronzeturnv1.Register{}
	s.places(r)
	s.versions(r, rules)
	for i := range s.Engines {
		r.Engines = append(r.Engines, s.engine(i))
	}
	s.organisations(r, rules)
	return r, rules, nil
}

// places adds the data centres and the pools.
func (s Size) places(r *bronzeturnv1.Register) {
	for i := range s.DataCentres {
		r.DataCentres = append(r.DataCentres, &bronzeturnv1.DataCentre{Name: centreName(i), Region: fmt.Sprintf("region-%d", i/2)})
	}
	for i := range s.Pools {
		r.Pools = append(r.Pools, &bronzeturnv1.Pool{Name: poolName(i), ChecksFencing: i%2 == 0})
	}
}

// versions adds the models and their versions.
func (s Size) versions(r *bronzeturnv1.Register, rules *bronzeturnv1.Rules) {
	for i := range s.Models {
		r.Models = append(r.Models, &bronzeturnv1.Model{Name: modelName(i)})
	}
	for i := range s.Versions {
		v := &bronzeturnv1.Version{
			Name: s.versionName(i), Model: modelName(i % s.Models),
			PromptPriceMicros: promptPrice, CompletionPriceMicros: completionPrice, PriorQuality: 0.8,
		}
		for _, kind := range rules.GetKinds() {
			v.PriorQualityByKind = append(v.PriorQualityByKind, &bronzeturnv1.KindQuality{Kind: kind.GetName(), Quality: 0.7})
		}
		r.Versions = append(r.Versions, v)
	}
}

// organisations adds the organisations and a limit for each.
func (s Size) organisations(r *bronzeturnv1.Register, rules *bronzeturnv1.Rules) {
	for i := range s.Organisations {
		name := fmt.Sprintf("organisation-%03d", i)
		digest := sha256.Sum256([]byte(name))
		o := &bronzeturnv1.Organisation{Name: name, KeySha256: []string{hex.EncodeToString(digest[:])}}
		for v := range min(allowedVersions, s.Versions) {
			o.AllowedVersions = append(o.AllowedVersions, s.versionName(i+v))
		}
		r.Organisations = append(r.Organisations, o)
		rules.Limits = append(rules.Limits, &bronzeturnv1.Limit{Organisation: name, RequestsPerSecond: 10, ConcurrentRequests: 100})
	}
}

func (s Size) engine(i int) *bronzeturnv1.Engine {
	e := &bronzeturnv1.Engine{
		Name: fmt.Sprintf("engine-%04d", i), Pool: poolName(i % s.Pools),
		DataCentre: centreName(i % s.DataCentres), Host: fmt.Sprintf("backend-%04d", i),
		Address: fmt.Sprintf("10.%d.%d.%d:8000", i>>16, i>>8&255, i&255),
		Slots:   16, TokensPerSecond: 60,
	}
	first, second := s.versionName(i), s.versionName(i+s.Models)
	e.Versions = []string{first}
	if second != first {
		e.Versions = append(e.Versions, second)
	}
	return e
}

// versionName names a version; numbers beyond the last begin anew.
func (s Size) versionName(i int) string {
	i %= s.Versions
	return fmt.Sprintf("model-%d@%d", i%s.Models, i/s.Models+1)
}

func modelName(i int) string  { return fmt.Sprintf("model-%d", i) }
func poolName(i int) string   { return fmt.Sprintf("pool-%02d", i) }
func centreName(i int) string { return fmt.Sprintf("centre-%d", i) }
