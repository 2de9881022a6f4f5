package admission

import (
	"math"
	"strconv"
	"time"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// shardKeys are the keys of the limit shards that are passed to the Owner option.
var shardKeys = func() (keys [limitShards]string) {
	for i := range keys {
		keys[i] = "limits/" + strconv.Itoa(i)
	}
	return keys
}()

func shardKey(shard int) string { return shardKeys[shard] }

func encodeAmounts(a amounts) *bronzeturnv1.LimitAmounts {
	return &bronzeturnv1.LimitAmounts{
		RequestsPerSecond:  float32(a[dimRequests]),
		TokensPerSecond:    float32(a[dimTokens]),
		ConcurrentRequests: uint32(a[dimConcurrent]),
		SpendMicros:        int64(a[dimSpend]),
	}
}

// decodeAmounts decodes the amounts of a peer. Negative and non-finite values
// become zero.
func decodeAmounts(m *bronzeturnv1.LimitAmounts) amounts {
	return amounts{
		dimRequests:   validAmount(float64(m.GetRequestsPerSecond())),
		dimTokens:     validAmount(float64(m.GetTokensPerSecond())),
		dimConcurrent: float64(m.GetConcurrentRequests()),
		dimSpend:      validAmount(float64(m.GetSpendMicros())),
	}
}

func validAmount(v float64) float64 {
	if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
		return 0
	}
	return v
}

func encodeUsage(organisation string, u usage) *bronzeturnv1.LimitUsage {
	m := &bronzeturnv1.LimitUsage{
		Organisation: organisation,
		Day:          u.day, InUse: uint32(max(u.inUse, 0)),
		SpentMicros: int64(u.spent), ToldMicros: int64(u.acknowledged), FleetSpentMicros: int64(u.fleetSpent),
		Idle: u.idle, Report: u.report,
	}
	if u.idle {
		return m
	}
	u.wanted[dimConcurrent] = math.Ceil(u.wanted[dimConcurrent])
	m.Wanted = encodeAmounts(u.wanted)
	if u.sequence != 0 {
		m.HeldCoordinator, m.HeldSequence = u.coordinator, u.sequence
		m.Held = encodeAmounts(u.held)
	}
	return m
}

func decodeUsage(daemon string, incarnation uint64, m *bronzeturnv1.LimitUsage) usage {
	return usage{
		daemon: daemon, incarnation: incarnation,
		coordinator: m.GetHeldCoordinator(), sequence: m.GetHeldSequence(),
		held: decodeAmounts(m.GetHeld()), wanted: decodeAmounts(m.GetWanted()),
		inUse: float64(m.GetInUse()), day: m.GetDay(),
		spent: float64(m.GetSpentMicros()), acknowledged: float64(m.GetToldMicros()),
		fleetSpent: float64(m.GetFleetSpentMicros()), idle: m.GetIdle(),
		report: m.GetReport(),
	}
}

func encodeShare(organisation string, coordinator uint64, g grantResult) *bronzeturnv1.LimitShare {
	return &bronzeturnv1.LimitShare{
		Organisation: organisation, Coordinator: coordinator, Sequence: g.sequence,
		Granted: encodeAmounts(g.amounts), Day: g.day,
		FleetSpentMicros: int64(g.fleetSpent), PeriodMs: uint32(g.period / time.Millisecond),
		ValidityMs: uint32(g.validity / time.Millisecond),
	}
}

// decodeShare decodes a share. Its period and validity are clamped to the bounds
// of this daemon.
func decodeShare(m *bronzeturnv1.LimitShare) grantResult {
	period := time.Duration(m.GetPeriodMs()) * time.Millisecond
	return grantResult{
		amounts: decodeAmounts(m.GetGranted()), sequence: m.GetSequence(), day: m.GetDay(),
		fleetSpent: validAmount(float64(m.GetFleetSpentMicros())),
		period:     min(max(period, shortestPeriod), longestPeriod),
		validity:   min(time.Duration(m.GetValidityMs())*time.Millisecond, longestValidity),
	}
}
