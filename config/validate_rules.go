package config

import (
	"time"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

func (v *validator) kinds() {
	const section = "rules.kinds"
	v.count(sectionPath(section), len(v.rules.GetKinds()), maxKinds)
	for i, kind := range v.rules.GetKinds() {
		path := entryPath(section, i)
		v.declare(&v.kindNames, path.at("name"), kind.GetName())
		v.kind(path, kind)
	}
	if !v.kindNames.has(DefaultKind) {
		v.add(sectionPath(section), "the kind %q is missing", DefaultKind)
	}
}

func (v *validator) kind(path fieldPath, kind *bronzeturnv1.TaskKind) {
	v.ratio(path.at("quality_target"), kind.GetQualityTarget())
	v.enum(path.at("priority"), int32(kind.GetPriority()), bronzeturnv1.Priority_name)
	v.enum(path.at("below_target"), int32(kind.GetBelowTarget()), bronzeturnv1.BelowTarget_name)
	v.versionList(path.at("preferred_versions"), kind.GetPreferredVersions())
	v.integer(path.at("expected_completion_tokens"), kind.GetExpectedCompletionTokens(), 0, maxTokens)
	v.kindDurations(path, kind)
	if kind.GetCascade() && !kind.GetIdempotent() {
		v.add(path.at("cascade"), "a cascade needs an idempotent kind")
	}
	if kind.GetHedge() && !kind.GetIdempotent() {
		v.add(path.at("hedge"), "hedging needs an idempotent kind")
	}
}

func (v *validator) kindDurations(path fieldPath, kind *bronzeturnv1.TaskKind) {
	deadline := v.duration(path.at("deadline"), kind.GetDeadline(), maxDeadline)
	timeout := v.duration(path.at("progress_timeout"), kind.GetProgressTimeout(), maxDeadline)
	if deadline > 0 && timeout > deadline {
		v.add(path.at("progress_timeout"), "%v is longer than the deadline %v", timeout, deadline.Round(time.Millisecond))
	}
}

// enum checks that a number is a value of the enum in the schema.
func (v *validator) enum(path fieldPath, number int32, known map[int32]string) {
	if _, ok := known[number]; !ok {
		v.add(path, "unknown value %d", number)
	}
}

func (v *validator) withdrawals() {
	const section = "rules.withdrawals"
	v.count(sectionPath(section), len(v.rules.GetWithdrawals()), maxVersions)
	seen := make(names)
	for i, w := range v.rules.GetWithdrawals() {
		path := entryPath(section, i)
		v.version(path.at("version"), w.GetVersion())
		v.unique(seen, path.at("version"), "version", w.GetVersion())
		v.text(path.at("reason"), w.GetReason(), maxReasonBytes)
	}
}

func (v *validator) limits() {
	const section = "rules.limits"
	v.count(sectionPath(section), len(v.rules.GetLimits()), maxOrganisations)
	seen := make(names)
	for i, limit := range v.rules.GetLimits() {
		path := entryPath(section, i)
		v.reference(v.organisationNames, path.at("organisation"), "organisation", limit.GetOrganisation())
		v.unique(seen, path.at("organisation"), "organisation", limit.GetOrganisation())
		v.number(path.at("requests_per_second"), limit.GetRequestsPerSecond())
		v.number(path.at("tokens_per_second"), limit.GetTokensPerSecond())
		v.integer(path.at("concurrent_requests"), limit.GetConcurrentRequests(), 0, maxTokens)
		v.integer(path.at("daily_spend_micros"), limit.GetDailySpendMicros(), 0, 1<<62)
	}
}

func (v *validator) rollouts() {
	const section = "rules.rollouts"
	v.count(sectionPath(section), len(v.rules.GetRollouts()), maxVersions)
	inRollout := make(names)
	for i, r := range v.rules.GetRollouts() {
		v.unique(inRollout, entryPath(section, i).at("version"), "version", r.GetVersion())
	}
	for i, r := range v.rules.GetRollouts() {
		v.rollout(entryPath(section, i), r, inRollout)
	}
}

// rollout checks one roll-out. The baseline must not be under roll-out itself, as the
// share of a version would not be well defined then.
func (v *validator) rollout(path fieldPath, r *bronzeturnv1.Rollout, inRollout names) {
	v.version(path.at("version"), r.GetVersion())
	v.version(path.at("baseline"), r.GetBaseline())
	model, known := v.versionModels[r.GetVersion()]
	baseline, baselineKnown := v.versionModels[r.GetBaseline()]
	if known && baselineKnown && model != baseline {
		v.add(path.at("baseline"), "version belongs to model %q, but its baseline to model %q", clip(model), clip(baseline))
	}
	if inRollout.has(r.GetBaseline()) {
		v.add(path.at("baseline"), "baseline %q is itself under roll-out", clip(r.GetBaseline()))
	}
	v.ratio(path.at("max_share"), r.GetMaxShare())
	v.enum(path.at("state"), int32(r.GetState()), bronzeturnv1.RolloutState_name)
	if r.GetState() == bronzeturnv1.RolloutState_ROLLOUT_STATE_UNSPECIFIED {
		v.add(path.at("state"), "state is missing")
	}
}
