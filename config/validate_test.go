package config

import (
	"errors"
	"math"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/types/known/durationpb"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

func TestValidateNamesTheBadField(t *testing.T) {
	type edit func(reg *bronzeturnv1.Register, rules *bronzeturnv1.Rules)
	for _, tt := range []struct {
		name  string
		edit  edit
		paths []string
	}{
		{"duplicate engine", func(reg *bronzeturnv1.Register, _ *bronzeturnv1.Rules) {
			reg.Engines[2].Name = reg.Engines[0].Name
		}, []string{"register.engines[2].name"}},
		{"unknown version of an engine", func(reg *bronzeturnv1.Register, _ *bronzeturnv1.Rules) {
			reg.Engines[3].Versions[0] = "nobody@1"
		}, []string{"register.engines[3].versions[0]"}},
		{"unknown pool, data centre and host", func(reg *bronzeturnv1.Register, _ *bronzeturnv1.Rules) {
			reg.Engines[1].Pool, reg.Engines[1].DataCentre, reg.Engines[1].Host = "x", "y", "a b"
		}, []string{"register.engines[1].pool", "register.engines[1].data_centre", "register.engines[1].host"}},
		{"host name in an address", func(reg *bronzeturnv1.Register, _ *bronzeturnv1.Rules) {
			reg.Engines[0].Address = "localhost:80"
		}, []string{"register.engines[0].address"}},
		{"address without a usable port", func(reg *bronzeturnv1.Register, _ *bronzeturnv1.Rules) {
			reg.Services[0].Instances[1].Address = "127.0.0.1:0"
		}, []string{"register.services[0].instances[1].address"}},
		{"address used by two engines", func(reg *bronzeturnv1.Register, _ *bronzeturnv1.Rules) {
			reg.Engines[4].Address = reg.Engines[0].Address
		}, []string{"register.engines[4].address"}},
		{"key digest too short or in upper case", func(reg *bronzeturnv1.Register, _ *bronzeturnv1.Rules) {
			reg.Organisations[0].KeySha256[0] = "abcd"
			reg.Organisations[1].KeySha256[0] = strings.ToUpper(reg.Organisations[1].KeySha256[0])
		}, []string{"register.organisations[0].key_sha256[0]", "register.organisations[1].key_sha256[0]"}},
		{"key of two organisations", func(reg *bronzeturnv1.Register, _ *bronzeturnv1.Rules) {
			reg.Organisations[5].KeySha256[0] = reg.Organisations[2].KeySha256[0]
		}, []string{"register.organisations[5].key_sha256[0]"}},
		{"negative price", func(reg *bronzeturnv1.Register, _ *bronzeturnv1.Rules) {
			reg.Versions[1].PromptPriceMicros = -1
			reg.Services[1].CallPriceMicros = -1
		}, []string{"register.versions[1].prompt_price_micros", "register.services[1].call_price_micros"}},
		{"quality is not a number", func(reg *bronzeturnv1.Register, rules *bronzeturnv1.Rules) {
			reg.Versions[0].PriorQuality = math.NaN()
			reg.Versions[0].PriorQualityByKind[1].Quality = 1.5
			rules.Kinds[0].QualityTarget = math.Inf(1)
		}, []string{"register.versions[0].prior_quality", "register.versions[0].prior_quality_by_kind[1].quality", "rules.kinds[0].quality_target"}},
		{"unknown kind of a prior", func(reg *bronzeturnv1.Register, _ *bronzeturnv1.Rules) {
			reg.Versions[0].PriorQualityByKind[0].Kind = "unheard"
		}, []string{"register.versions[0].prior_quality_by_kind[0].kind"}},
		{"slots and rate out of range", func(reg *bronzeturnv1.Register, _ *bronzeturnv1.Rules) {
			reg.Engines[0].Slots, reg.Engines[0].TokensPerSecond = 0, math.NaN()
		}, []string{"register.engines[0].slots", "register.engines[0].tokens_per_second"}},
		{"unknown names allowed", func(reg *bronzeturnv1.Register, _ *bronzeturnv1.Rules) {
			reg.Organisations[0].AllowedModels[0] = "x"
			reg.Organisations[0].AllowedServices[0] = "x"
			reg.Organisations[0].AllowedVersions = []string{"x"}
		}, []string{"register.organisations[0].allowed_versions[0]", "register.organisations[0].allowed_models[0]", "register.organisations[0].allowed_services[0]"}},
		{"no default kind", func(_ *bronzeturnv1.Register, rules *bronzeturnv1.Rules) {
			rules.Kinds[0].Name = "other"
		}, []string{"rules.kinds"}},
		{"durations missing, zero, too long", func(_ *bronzeturnv1.Register, rules *bronzeturnv1.Rules) {
			rules.Kinds[0].Deadline = nil
			rules.Kinds[1].ProgressTimeout = durationpb.New(0)
			rules.Kinds[2].Deadline = durationpb.New(1000 * time.Hour)
			rules.Kinds[3].ProgressTimeout = durationpb.New(rules.Kinds[3].Deadline.AsDuration() + 1)
		}, []string{"rules.kinds[0].deadline", "rules.kinds[1].progress_timeout", "rules.kinds[2].deadline", "rules.kinds[3].progress_timeout"}},
		{"non-idempotent kind repeated", func(_ *bronzeturnv1.Register, rules *bronzeturnv1.Rules) {
			rules.Kinds[2].Cascade, rules.Kinds[2].Hedge = true, true
		}, []string{"rules.kinds[2].cascade", "rules.kinds[2].hedge"}},
		{"unknown numbers of enums", func(_ *bronzeturnv1.Register, rules *bronzeturnv1.Rules) {
			rules.Kinds[0].Priority, rules.Kinds[0].BelowTarget, rules.Rollouts[0].State = 9, 9, 9
		}, []string{"rules.kinds[0].priority", "rules.kinds[0].below_target", "rules.rollouts[0].state"}},
		{"withdrawal of an unknown version, twice", func(_ *bronzeturnv1.Register, rules *bronzeturnv1.Rules) {
			rules.Withdrawals = append(rules.Withdrawals, rules.Withdrawals[0])
			rules.Withdrawals = append(rules.Withdrawals, &bronzeturnv1.Withdrawal{Version: "x", Reason: "a\nb"})
		}, []string{"rules.withdrawals[1].version", "rules.withdrawals[2].version", "rules.withdrawals[2].reason"}},
		{"limit of an unknown organisation", func(_ *bronzeturnv1.Register, rules *bronzeturnv1.Rules) {
			rules.Limits[0].Organisation = "x"
			rules.Limits[1].RequestsPerSecond = -1
			rules.Limits[1].TokensPerSecond = math.NaN()
		}, []string{"rules.limits[0].organisation", "rules.limits[1].requests_per_second", "rules.limits[1].tokens_per_second"}},
		{"baseline of another model", func(_ *bronzeturnv1.Register, rules *bronzeturnv1.Rules) {
			rules.Rollouts[0].Baseline = "diag-large@2"
			rules.Rollouts[0].State = 0
		}, []string{"rules.rollouts[0].baseline", "rules.rollouts[0].state"}},
		{"version is its own baseline", func(_ *bronzeturnv1.Register, rules *bronzeturnv1.Rules) {
			rules.Rollouts[0].Baseline = rules.Rollouts[0].Version
		}, []string{"rules.rollouts[0].baseline"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			reg, rules := loadExample(t, "campina-verde")
			tt.edit(reg, rules)
			_, err := NewSnapshot(1, reg, rules)
			var refused *ValidationError
			c.Assert(errors.As(err, &refused), qt.IsTrue)
			var paths []string
			for _, problem := range refused.Problems {
				paths = append(paths, problem.Path)
			}
			c.Assert(paths, qt.DeepEquals, tt.paths)
		})
	}
}

func TestValidateBoundsSizes(t *testing.T) {
	c := qt.New(t)
	reg, rules := loadExample(t, "andina")
	for len(reg.Models) <= maxModels {
		reg.Models = append(reg.Models, &bronzeturnv1.Model{Name: strings.Repeat("m", len(reg.Models)%maxNameBytes+1)})
	}
	var refused *ValidationError
	c.Assert(errors.As(Validate(reg, rules), &refused), qt.IsTrue)
	c.Assert(refused.Problems[0].Path, qt.Equals, "register.models")
	c.Assert(len(refused.Problems) <= maxProblemsReported, qt.IsTrue)
}

func TestValidateNilInput(t *testing.T) {
	c := qt.New(t)
	var refused *ValidationError
	c.Assert(errors.As(Validate(nil, nil), &refused), qt.IsTrue)
	c.Assert(refused.Problems, qt.DeepEquals, []Problem{{Path: "rules.kinds", Message: `the kind "default" is missing`}})
}
