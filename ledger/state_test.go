package ledger

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// stateAfter returns the state after one batch per record, one second apart.
func stateAfter(records ...*bronzeturnv1.LedgerRecord) *state {
	s := newState(testRetention)
	for _, rec := range records {
		s.apply(&bronzeturnv1.LedgerBatch{
			Sequence:      s.sequence + 1,
			ElapsedMicros: time.Second.Microseconds(),
			Records:       []*bronzeturnv1.LedgerRecord{rec},
		})
	}
	return s
}

func outcome(of *bronzeturnv1.LedgerRecord, state ClaimState) *bronzeturnv1.LedgerRecord {
	return outcomeRecord(fingerprint(of.Fingerprint), Nonce(of.Nonce), &bronzeturnv1.LedgerOutcome{State: wireStates[state]})
}

func TestDecide(t *testing.T) {
	first, second := testClaim("k"), testClaim("k")
	bill := testBill("r")
	tests := []struct {
		name  string
		log   []*bronzeturnv1.LedgerRecord
		want  *bronzeturnv1.LedgerRecord
		write bool
		mine  bool
	}{
		{"first claim", nil, first, true, false},
		{"claim found again by its nonce", []*bronzeturnv1.LedgerRecord{first}, first, false, true},
		{"second claim", []*bronzeturnv1.LedgerRecord{first}, second, false, false},
		{"claim after done", []*bronzeturnv1.LedgerRecord{first, outcome(first, StateDone)}, second, false, false},
		{"claim after unknown", []*bronzeturnv1.LedgerRecord{first, outcome(first, StateUnknown)}, second, false, false},
		{"claim after release", []*bronzeturnv1.LedgerRecord{first, outcome(first, StateNotRun)}, second, true, false},
		{"released claim found again", []*bronzeturnv1.LedgerRecord{first, outcome(first, StateNotRun)}, first, false, false},
		{"late claim after its release", []*bronzeturnv1.LedgerRecord{outcome(first, StateNotRun)}, first, false, false},
		{"release of another attempt", []*bronzeturnv1.LedgerRecord{first}, outcome(second, StateNotRun), false, false},
		{"release after done", []*bronzeturnv1.LedgerRecord{first, outcome(first, StateDone)}, outcome(first, StateNotRun), false, false},
		{"done after release", []*bronzeturnv1.LedgerRecord{first, outcome(first, StateNotRun)}, outcome(first, StateDone), false, false},
		{"done twice", []*bronzeturnv1.LedgerRecord{first, outcome(first, StateDone)}, outcome(first, StateDone), false, true},
		{"done without claim", nil, outcome(first, StateDone), false, false},
		{"first bill", nil, bill, true, false},
		{"second bill", []*bronzeturnv1.LedgerRecord{bill}, testBill("r"), false, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := stateAfter(test.log...).decide(test.want)
			qt.Assert(t, d.write, qt.Equals, test.write)
			qt.Assert(t, d.verdict.GetMine(), qt.Equals, test.mine)
		})
	}
}

func TestEntriesExpireByTheShardClock(t *testing.T) {
	fp := fingerprintOf(ClassPin, "org", "c")
	conversation := pinRecord(fp, newNonce(), "v1", false)
	touch := pinRecord(fp, newNonce(), "v1", true)
	s := stateAfter(testClaim("k"), testBill("r"), conversation)
	advance := func(d time.Duration, records ...*bronzeturnv1.LedgerRecord) {
		s.apply(&bronzeturnv1.LedgerBatch{Sequence: s.sequence + 1, ElapsedMicros: d.Microseconds(), Records: records})
		s.sweep()
	}
	advance(DefaultPinIdle-time.Minute, touch)
	advance(2 * time.Minute)
	qt.Assert(t, s.lookup(ClassPin, fp), qt.IsNotNil) // extended by the touch
	advance(DefaultPinIdle)
	qt.Assert(t, s.lookup(ClassPin, fp), qt.IsNil)
	advance(DefaultBillRetention)
	qt.Assert(t, s.decide(testBill("r")).write, qt.IsTrue)
	qt.Assert(t, s.decide(testClaim("k")).write, qt.IsFalse)
	advance(DefaultClaimRetention)
	qt.Assert(t, s.decide(testClaim("k")).write, qt.IsTrue)
	qt.Assert(t, len(s.claims)+len(s.pins)+len(s.bills), qt.Equals, 0)
}

func TestFingerprintsKeepOrganisationsApart(t *testing.T) {
	all := map[fingerprint]bool{
		fingerprintOf(ClassClaim, "ab", "c"): true,
		fingerprintOf(ClassClaim, "a", "bc"): true,
		fingerprintOf(ClassClaim, "", "abc"): true,
		fingerprintOf(ClassPin, "ab", "c"):   true,
		fingerprintOf(ClassBill, "ab", "c"):  true,
	}
	qt.Assert(t, len(all), qt.Equals, 5)
}

func TestAnswerBodiesAreDroppedEarlierThanClaims(t *testing.T) {
	claim := testClaim("k")
	done := outcome(claim, StateDone)
	done.GetOutcome().Body, done.GetOutcome().BodyKept = []byte("answer"), true
	s := stateAfter(claim, done)
	advance := func(d time.Duration) *bronzeturnv1.LedgerOutcome {
		s.apply(&bronzeturnv1.LedgerBatch{Sequence: s.sequence + 1, ElapsedMicros: d.Microseconds()})
		s.sweep()
		return s.lookup(ClassClaim, fingerprint(claim.Fingerprint)).GetClaim().GetOutcome()
	}
	qt.Assert(t, string(advance(DefaultAnswerRetention/2).Body), qt.Equals, "answer")
	out := advance(DefaultAnswerRetention)
	qt.Assert(t, out.BodyKept, qt.IsFalse)
	qt.Assert(t, out.Body, qt.IsNil)
	qt.Assert(t, out.State, qt.Equals, wireStates[StateDone])
	qt.Assert(t, string(done.GetOutcome().Body), qt.Equals, "answer")
}

// A segment built from the largest possible tail must fit in one object, for
// every kind of record.
func TestLargestSegmentFitsAnObject(t *testing.T) {
	kinds := map[string]func(i int) *bronzeturnv1.LedgerRecord{
		"claims":   func(i int) *bronzeturnv1.LedgerRecord { return testClaim(string(rune(i))) },
		"bills":    func(i int) *bronzeturnv1.LedgerRecord { return testBill(string(rune(i))) },
		"releases": func(i int) *bronzeturnv1.LedgerRecord { return outcome(testClaim(string(rune(i))), StateNotRun) },
	}
	for name, record := range kinds {
		t.Run(name, func(t *testing.T) {
			g := newShardLog(nil, layout{1, DefaultSlots}, 0, "w", testRetention)
			for i := 1; g.tailBytes <= maxTailBytes; i++ {
				g.apply(&bronzeturnv1.LedgerBatch{Sequence: uint64(i), Records: []*bronzeturnv1.LedgerRecord{record(i)}}, time.Now())
			}
			size := proto.Size(g.buildSegment())
			qt.Assert(t, size < 1000<<10, qt.IsTrue, qt.Commentf("%d bytes", size))
		})
	}
}
