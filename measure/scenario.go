package measure

import (
	"fmt"
	"time"

	"github.com/bronzeturn/bronzeturn/config"
	"github.com/bronzeturn/bronzeturn/examples"
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// Fault is a fault that is injected into a run.
type Fault string

// The faults. Most of them begin at Scenario.FaultAt. FaultColdStart, FaultStaleReports
// and the delay of ratings under FaultVersionBadLateRatings apply to the whole run.
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
	// FaultColdStart starts the run without a history of ratings.
	FaultColdStart Fault = "no ratings yet"
)

// Faults lists all faults in the order of the tables.
var Faults = []Fault{
	FaultNone, FaultVersionBad, FaultVersionBadLateRatings, FaultHalfPoolLost, FaultRolloutHalted,
	FaultRatingsStopped, FaultStaleReports, FaultSlowEngine, FaultBulkOverrun, FaultColdStart,
}

const (
	// warmUp is the initial part of a run whose requests do not count in the figures,
	// except for hedges and attempts at bad or halted versions.
	warmUp = 20 * time.Second
	// fullFaultAt is the FaultAt of the full runs.
	fullFaultAt = 60 * time.Second
	// fullHistory is the History of the full runs.
	fullHistory = 4 * time.Hour
	// bulkOverrunFactor multiplies the rates of bulk kinds under FaultBulkOverrun.
	bulkOverrunFactor = 10
)

// stream is the arrival process of one kind of requests.
type stream struct {
	kind         string
	rate         float64 // requests per second
	promptTokens int64   // mean prompt tokens
	// organisations send the requests in equal shares. An organisation with a larger
	// share is listed several times.
	organisations []string
	// conversationShare is the probability that a request continues a conversation. If
	// it is not zero, all other requests start one.
	conversationShare float64
}

// Scenario is a deployment with its workload and the targets of the faults.
type Scenario struct {
	Name       string
	Deployment string
	Duration   time.Duration
	// FaultAt is the time from the start of the run at which most faults begin.
	FaultAt time.Duration
	// History is the period before the run whose ratings the fleet has learned from.
	// Without it the fleet only knows the priors, as under FaultColdStart.
	History time.Duration
	streams []stream
	// badVersion is the version that turns bad, haltedVersion the one whose roll-out is
	// halted.
	badVersion, haltedVersion string
	// failingPool is the pool that loses half of its engines, slowEngine the engine that
	// becomes slow.
	failingPool, slowEngine string
	// biasedOrganisation is the organisation whose ratings are too low by ratingBias.
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

// Scenarios lists two scenarios for each example deployment. In "kiosk peak" and
// "morning burst" the pool of the urgent kinds is at about 85% load.
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

// supports reports whether a fault can be injected into the scenario. Only the Andina
// deployment has bulk requests for FaultBulkOverrun.
func (s *Scenario) supports(f Fault) bool {
	return f != FaultBulkOverrun || s.Deployment == examples.Andina
}

// Short returns a shortened copy of the scenario for tests.
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
