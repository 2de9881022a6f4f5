package measure

import (
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/quality"
	"github.com/bronzeturn/bronzeturn/selection"
)

// replayHistory trains the selection of versions before the run. It passes the rated
// share of the scenario's requests during Scenario.History through selection and
// rating, without engines.
func (s *sim) replayHistory(seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 5))
	total := 0.0
	for i := range s.scenario.streams {
		total += s.scenario.streams[i].rate * ratedShare
	}
	now := epoch.Add(-s.scenario.History)
	for id := 0; ; id++ {
		now = now.Add(seconds(rng.ExpFloat64() / total))
		if !now.Before(epoch) {
			return
		}
		at := rng.Float64() * total
		for i := range s.scenario.streams {
			if at -= s.scenario.streams[i].rate * ratedShare; at < 0 {
				s.replayRequest(&s.scenario.streams[i], id, now, rng)
				break
			}
		}
	}
}

// replayRequest selects a version for one request, draws the quality of the answer
// and records its rating.
func (s *sim) replayRequest(st *stream, id int, now time.Time, rng *rand.Rand) {
	kind := s.kinds[st.kind]
	organisation := st.organisations[rng.IntN(len(st.organisations))]
	d, err := s.versions.Choose(s.plan, &selection.Request{
		Organisation: organisation, Kind: st.kind, Key: fmt.Sprint("history ", id),
		InConversation: st.conversationShare > 0, PromptTokens: st.promptTokens, Deadline: now.Add(kind.GetDeadline().AsDuration()),
	}, now, rng)
	if err != nil {
		return
	}
	draw, check := rng.Float64(), rng.Float64()
	version, accepted := d.Version, false
	good := draw < s.truth.quality(version, st.kind, now)
	if d.Escalatable {
		flagged := !checkAnswer(good, check).OK()
		s.quality.AddCheck(quality.CheckResult{Version: version, Kind: st.kind, Flagged: flagged})
		accepted = !flagged
		if flagged {
			version = d.Cascade.Next
			good = draw < s.truth.quality(version, st.kind, now)
		}
	}
	_, _ = s.versions.ObserveRating(quality.Rating{
		Organisation: organisation, Version: version, Kind: st.kind, Accepted: accepted,
		Score: s.score(organisation, good), At: now,
	})
}

// fixedPriorWeight is a prior weight so high that ratings do not change the estimates.
const fixedPriorWeight = 1e6

// qualityOptions returns the options of the quality estimates for the policy.
func (p Policy) qualityOptions() quality.Options {
	if p == PolicyInformed {
		return quality.Options{PriorWeight: fixedPriorWeight}
	}
	return quality.Options{}
}

// registerWithTrueQualities returns a copy of the register whose prior qualities are
// the true ones.
func (t *groundTruth) registerWithTrueQualities(reg *bronzeturnv1.Register) *bronzeturnv1.Register {
	informed := proto.CloneOf(reg)
	for _, v := range informed.GetVersions() {
		v.PriorQualityByKind = nil
		for key, q := range t.qualities {
			if key[0] == v.GetName() {
				v.PriorQualityByKind = append(v.PriorQualityByKind, &bronzeturnv1.KindQuality{Kind: key[1], Quality: q})
			}
		}
	}
	return informed
}
