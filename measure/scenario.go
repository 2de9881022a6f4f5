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
	FaultNone                  Fault = "none"
	FaultVersionBad            Fault = "version turns bad"
	FaultVersionBadLateRatings Fault = "version turns bad, ratings a minute late"
	FaultHalfPoolLost          Fault = "half a pool lost"
	FaultRolloutHalted         Fault = "roll-out halted"
	FaultRatingsStopped        Fault = "ratings silent"
	FaultStaleReports          Fault = "load reports 2 s old"
	FaultSlowEngine            Fault = "a slow engine"
	FaultBulkOverrun           Fault = "bulk overruns"
	// FaultColdStart is a fleet that has no ratings yet.
	FaultColdStart Fault = "no ratings yet"
)

// Faults are all faults, in the order of the tables.
var Faults = []Fault{
	FaultNone, FaultVersionBad, FaultVersionBadLateRatings, FaultHalfPoolLost, FaultRolloutHalted,
	FaultRatingsStopped, FaultStaleReports, FaultSlowEngine, FaultBulkOverrun, FaultColdStart,
}

const (
	// warmUp is left out of all figures but the exposure to bad versions.
	warmUp = 20 * time.Second
	// fullFaultAt is the FaultAt of the full runs.
	fullFaultAt = 60 * time.Second
	// fullHistory is the History of the full runs.
	fullHistory = 4 * time.Hour
	// bulkOverrunFactor multiplies the rates of bulk kinds when bulk overruns.
	bulkOverrunFactor = 10
)

// stream is one kind of work.
type stream struct {
	kind         string
	rate         float64 // requests per second
	promptTokens int64   // mean prompt tokens
	// organisations send in equal parts; name one twice for a large one.
	organisations []string
	// conversationShare is the share of requests that continue a conversation.
	conversationShare float64
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
	// badVersion is the version that turns bad, halted the one whose roll-out is.
	badVersion, haltedVersion string
	// failingPool loses half of its engines, slow is the engine that turns slow.
	failingPool, slowEngine string
	// biasedOrganisation is an organisation whose ratings are too low.
	biasedOrganisation string
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
		Name: "steady day", Deployment: examples.CampinaVerde, Duration: 240 * time.Second, FaultAt: fullFaultAt, History: fullHistory,
		streams: []stream{
			{kind: "quick", rate: 80, promptTokens: 200, organisations: kiosks},
			{kind: "tag", rate: 8, promptTokens: 400, organisations: workshops},
			{kind: "report", rate: 2, promptTokens: 3000, organisations: workshops},
			{kind: "explain", rate: 2, promptTokens: 1500, organisations: depots, conversationShare: 0.6},
		},
		badVersion: "dock-quick@2", haltedVersion: "diag-small@5", failingPool: "diag-llm", slowEngine: "dock-app-1", biasedOrganisation: "rider-app",
	},
	{
		Name: "kiosk peak", Deployment: examples.CampinaVerde, Duration: 180 * time.Second, FaultAt: fullFaultAt, History: fullHistory,
		streams: []stream{
			{kind: "quick", rate: 225, promptTokens: 200, organisations: kiosks},
			{kind: "tag", rate: 6, promptTokens: 400, organisations: workshops},
			{kind: "report", rate: 1, promptTokens: 3000, organisations: workshops},
			{kind: "explain", rate: 1, promptTokens: 1500, organisations: depots, conversationShare: 0.6},
		},
		badVersion: "dock-quick@2", haltedVersion: "diag-small@5", failingPool: "dock-app", slowEngine: "dock-app-1", biasedOrganisation: "rider-app",
	},
	{
		Name: "nightly bulk", Deployment: examples.Andina, Duration: 300 * time.Second, FaultAt: fullFaultAt, History: fullHistory,
		streams: []stream{
			{kind: "settlement", rate: 3, promptTokens: 4000, organisations: franchisees},
			{kind: "reorder", rate: 8, promptTokens: 600, organisations: franchisees},
			{kind: "crate-tag", rate: 25, promptTokens: 150, organisations: crates},
		},
		badVersion: "revision-grande@7", haltedVersion: "revision-grande@8", failingPool: "modelo-pool", slowEngine: "modelo-pool-2", biasedOrganisation: "franquicia-merlo",
	},
	{
		Name: "morning burst", Deployment: examples.Andina, Duration: 180 * time.Second, FaultAt: fullFaultAt, History: fullHistory,
		streams: []stream{
			{kind: "sheet", rate: 56, promptTokens: 500, organisations: handhelds},
			{kind: "price", rate: 30, promptTokens: 300, organisations: handhelds},
			{kind: "settlement", rate: 1, promptTokens: 4000, organisations: franchisees},
			{kind: "crate-tag", rate: 15, promptTokens: 150, organisations: crates},
		},
		badVersion: "hoja@2", haltedVersion: "revision-grande@8", failingPool: "ruta-api", slowEngine: "ruta-api-1", biasedOrganisation: "franquicia-merlo",
	},
}

// supports reports whether a fault can happen in the scenario.
func (s *Scenario) supports(f Fault) bool {
	return f != FaultBulkOverrun || s.Deployment == examples.Andina
}

// Short returns the scenario cut down for a test.
func (s Scenario) Short() *Scenario {
	s.FaultAt = warmUp + 5*time.Second
	s.Duration = s.FaultAt + 20*time.Second
	s.History = 10 * time.Minute
	return &s
}

// readConfiguration reads the register and the rules of the scenario's deployment.
func (s *Scenario) readConfiguration() (*bronzeturnv1.Register, *bronzeturnv1.Rules, error) {
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
