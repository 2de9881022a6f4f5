package fleetbench

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/bronzeturn/bronzeturn/config"
	"github.com/bronzeturn/bronzeturn/examples"
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// Size is the number of entries of each kind in a generated register.
type Size struct {
	Engines, Pools, Organisations, Models, Versions, DataCentres int
}

// ExistingSize returns about the size of an existing deployment.
func ExistingSize() Size {
	return Size{Engines: 12, Pools: 2, Organisations: 10, Models: 2, Versions: 4, DataCentres: 3}
}

// TargetSize returns the size that bronzeturn is designed for.
func TargetSize() Size {
	return Size{Engines: 5300, Pools: 16, Organisations: 300, Models: 9, Versions: 36, DataCentres: 4}
}

// Properties of the generated entries.
const (
	promptPrice     = 100_000
	completionPrice = 400_000
	allowedVersions = 12
	// exampleRules is the example file that the request kinds are taken from.
	exampleRules = "andina/rules.yaml"
)

func (s Size) validate() error {
	if min(s.Engines, s.Pools, s.Organisations, s.Models, s.Versions, s.DataCentres) < 1 {
		return fmt.Errorf("%w: every part of the register needs an entry", ErrOptions)
	}
	return nil
}

// Generate returns a register of the given size and matching rules. The result is
// deterministic. The addresses of the engines are fictitious.
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
	s.addDataCentresAndPools(r)
	s.addVersions(r, rules)
	for i := range s.Engines {
		r.Engines = append(r.Engines, s.newEngine(i))
	}
	s.addOrganisations(r, rules)
	return r, rules, nil
}

// addDataCentresAndPools adds the data centres and the pools.
func (s Size) addDataCentresAndPools(r *bronzeturnv1.Register) {
	for i := range s.DataCentres {
		r.DataCentres = append(r.DataCentres, &bronzeturnv1.DataCentre{Name: dataCentreName(i), Region: fmt.Sprintf("region-%d", i/2)})
	}
	for i := range s.Pools {
		r.Pools = append(r.Pools, &bronzeturnv1.Pool{Name: poolName(i), ChecksFencing: i%2 == 0})
	}
}

// addVersions adds the models and their versions.
func (s Size) addVersions(r *bronzeturnv1.Register, rules *bronzeturnv1.Rules) {
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

// addOrganisations adds the organisations, and a limit for each to the rules.
func (s Size) addOrganisations(r *bronzeturnv1.Register, rules *bronzeturnv1.Rules) {
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

func (s Size) newEngine(i int) *bronzeturnv1.Engine {
	e := &bronzeturnv1.Engine{
		Name: fmt.Sprintf("engine-%04d", i), Pool: poolName(i % s.Pools),
		DataCentre: dataCentreName(i % s.DataCentres), Host: fmt.Sprintf("backend-%04d", i),
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

// versionName returns the name of version i modulo the number of versions.
func (s Size) versionName(i int) string {
	i %= s.Versions
	return fmt.Sprintf("model-%d@%d", i%s.Models, i/s.Models+1)
}

func modelName(i int) string      { return fmt.Sprintf("model-%d", i) }
func poolName(i int) string       { return fmt.Sprintf("pool-%02d", i) }
func dataCentreName(i int) string { return fmt.Sprintf("centre-%d", i) }
