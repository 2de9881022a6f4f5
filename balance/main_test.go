package balance

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.checks", "200")
	flag.Parse()
	os.Exit(m.Run())
}

var epoch = time.Unix(1_800_000_000, 0)

const testVersion = "diag-large@3"

// newRegister returns a register of engines of one pool in three data centres.
func newRegister(engines int) *bronzeturnv1.Register {
	reg := &bronzeturnv1.Register{}
	for i := range engines {
		reg.Engines = append(reg.Engines, &bronzeturnv1.Engine{
			Name:            fmt.Sprintf("engine-%d", i),
			Pool:            "diag-llm",
			DataCentre:      fmt.Sprintf("hall-%d", i%3),
			Host:            fmt.Sprintf("host-%d", i),
			Versions:        []string{testVersion},
			Slots:           8,
			TokensPerSecond: 40,
		})
	}
	return reg
}

func newState(t testing.TB) *State {
	s, err := NewState(DefaultOptions())
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func newRequest() *Request {
	return &Request{
		Version:    testVersion,
		DataCentre: "hall-0",
		Work:       Work{PromptTokens: 400, ExpectedTokens: 200},
	}
}

// send reports n requests sent to the engine.
func send(s *State, engine string, n int, at time.Time) {
	for range n {
		s.Dispatched(Dispatched{Engine: engine, Work: newRequest().Work, At: at})
	}
}

// fail reports n requests sent to the engine that failed at once.
func fail(s *State, engine string, n int, at time.Time) {
	for range n {
		send(s, engine, 1, at)
		s.Failed(Failed{Engine: engine, Work: newRequest().Work, Kind: FailureError, At: at})
	}
}

// succeed reports n requests that the engine answered at once.
func succeed(s *State, engine string, n int, at time.Time) {
	for range n {
		send(s, engine, 1, at)
		s.Finished(Finished{Engine: engine, Work: newRequest().Work, At: at})
	}
}
