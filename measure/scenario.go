package measure

import (
	"fmt"
	"time"

	"github.com/bronzeturn/bronzeturn/config"
	"github.com/bronzeturn/bronzeturn/examples"
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// Fault is what goes wrong in a run.
type Fault string

// The faults. All but the cold start begin at FaultAt.
const (
	FaultNone          Fault = "none"
	FaultVersionBad    Fault = "version turns bad"
	FaultBadRatedLate  Fault = "version turns bad, ratings a minute late"
	FaultHalfPool      Fault = "half a pool lost"
	FaultRolloutHalted Fault = "roll-out halted"
	FaultRatingsSilent Fault = "ratings silent"
	FaultOldReports    Fault = "load reports 2 s old"
	FaultSlowEngine    Fault = "a slow engine"
	FaultBulkOverrun   Fault = "bulk overruns"
	// FaultColdStart is a fleet that has no ratings yet.
	FaultColdStart Fault = "no ratings yet"
)

// Faults are all faults, in the order of the tables.
var Faults = []Fault{
	FaultNone, FaultVersionBad, FaultBadRatedLate, FaultHalfPool, FaultRolloutHalted,
	FaultRatingsSilent, FaultOldReports, FaultSlowEngine, FaultBulkOverrun, FaultColdStart,
}

const (
	// warmUp is left out of all figures but the exposure to bad versions.
	warmUp = 20 * time.Second
	// faultAt is the FaultAt of the full runs.
	faultAt = 60 * time.Second
	// history is the History of the full runs.
	history = 4 * time.Hour
	// overrun multiplies the rates of bulk kinds when bulk overruns.
	overrun = 10
)

// stream is one kind of work.
type stream struct {
	kind   string
	rate   float64 // requests per second
	prompt int64   // mean prompt tokens
	// organisations send in equal parts; name one twice for a large one.
	organisations []string
	// conversations is the share of requests that continue a conversation.
	conversations float64
}

// Scenario is a deployment with its work.
type Scenario struct {
	Name       string
	Deployment string
	Duration   time.Duration
	// FaultAt is when faults begin.
	FaultAt time.Duration
	// History is how long the fleet served and rated before the run. Without it
	// a run shows a fleet that knows nothing but priors, as FaultColdStart does.
	History time.Duration
	streams []stream
	// bad is the version that turns bad, halted the one whose roll-out is.
	bad, halted string
	// pool loses half of its engines, slow is the engine that turns slow.
	pool, slow string
	// biased is an organisation whose ratings are too low.
	biased string
}

var (
	workshops   = []string{"mobilidade-eletrica", "oficina-central", "oficina-central", "oficina-porto", "oficina-serra"}
	depots      = []string{"mobilidade-eletrica", "depot-centro", "depot-porto"}
	kiosks      = []string{"dock-kiosks", "dock-kiosks", "rider-app"}
	franchisees = []string{
		"andina-central", "franquicia-godoy", "franquicia-godoy", "franquicia-rawson",
		"franquicia-merlo", "franquicia-maipu", "franquicia-chimbas", "franquicia-quines",
	}
	handhelds = []string{"driver-handhelds", "driver-handhelds", "franquicia-godoy", "franquicia-merlo"}
	crates    = []string{"crate-yard", "andina-central", "franquicia-rawson"}
)

// Scenarios are the work of both deployments. The kiosk peak and the morning
// burst bring the pool of their quick kind to about 85% load.
var Scenarios = []Scenario{
	{
		Name: "steady day", Deployment: examples.CampinaVerde, Duration: 240 * time.Second, FaultAt: faultAt, History: history,
		streams: []stream{
			{kind: "quick", rate: 80, prompt: 200, organisations: kiosks},
			{kind: "tag", rate: 8, prompt: 400, organisations: workshops},
			{kind: "report", rate: 2, prompt: 3000, organisations: workshops},
			{kind: "explain", rate: 2, prompt: 1500, organisations: depots, conversations: 0.6},
		},
		bad: "dock-quick@2", halted: "diag-small@5", pool: "diag-llm", slow: "dock-app-1", biased: "rider-app",
	},
	{
		Name: "kiosk peak", Deployment: examples.CampinaVerde, Duration: 180 * time.Second, FaultAt: faultAt, History: history,
		streams: []stream{
			{kind: "quick", rate: 225, prompt: 200, organisations: kiosks},
			{kind: "tag", rate: 6, prompt: 400, organisations: workshops},
			{kind: "report", rate: 1, prompt: 3000, organisations: workshops},
			{kind: "explain", rate: 1, prompt: 1500, organisations: depots, conversations: 0.6},
		},
		bad: "dock-quick@2", halted: "diag-small@5", pool: "dock-app", slow: "dock-app-1", biased: "rider-app",
	},
	{
		Name: "nightly bulk", Deployment: examples.Andina, Duration: 300 * time.Second, FaultAt: faultAt, History: history,
		streams: []stream{
			{kind: "settlement", rate: 3, prompt: 4000, organisations: franchisees},
			{kind: "reorder", rate: 8, prompt: 600, organisations: franchisees},
			{kind: "crate-tag", rate: 25, prompt: 150, organisations: crates},
		},
		bad: "revision-grande@7", halted: "revision-grande@8", pool: "modelo-pool", slow: "modelo-pool-2", biased: "franquicia-merlo",
	},
	{
		Name: "morning burst", Deployment: examples.Andina, Duration: 180 * time.Second, FaultAt: faultAt, History: history,
		streams: []stream{
			{kind: "sheet", rate: 56, prompt: 500, organisations: handhelds},
			{kind: "price", rate: 30, prompt: 300, organisations: handhelds},
			{kind: "settlement", rate: 1, prompt: 4000, organisations: franchisees},
			{kind: "crate-tag", rate: 15, prompt: 150, organisations: crates},
		},
		bad: "hoja@2", halted: "revision-grande@8", pool: "ruta-api", slow: "ruta-api-1", biased: "franquicia-merlo",
	},
}

// meets reports whether a fault can happen in the scenario.
func (s *Scenario) meets(f Fault) bool {
	return f != FaultBulkOverrun || s.Deployment == examples.Andina
}

// Short returns the scenario cut down for a test.
func (s Scenario) Short() *Scenario {
	s.FaultAt = warmUp + 5*time.Second
	s.Duration = s.FaultAt + 20*time.Second
	s.History = 10 * time.Minute
	return &s
}

// load reads the register and the rules of the scenario's deployment.
func (s *Scenario) load() (*bronzeturnv1.Register, *bronzeturnv1.Rules, error) {
	file := s.Deployment + "/register.yaml"
	data, err := examples.Files.ReadFile(file)
	if err != nil {
		return nil, nil, fmt.Errorf("register of %s: %w", s.Deployment, err)
	}
	reg, err := config.DecodeRegister(file, data)
	if err != nil {
		return nil, nil, fmt.Errorf("register of %s: %w", s.Deployment, err)
	}
	file = s.Deployment + "/rules.yaml"
	if data, err = examples.Files.ReadFile(file); err != nil {
		return nil, nil, fmt.Errorf("rules of %s: %w", s.Deployment, err)
	}
	rules, err := config.DecodeRules(file, data)
	if err != nil {
		return nil, nil, fmt.Errorf("rules of %s: %w", s.Deployment, err)
	}
	return reg, rules, nil
}
