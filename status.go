package bronzeturn

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/bronzeturn/bronzeturn/config"
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/ledger"
	"github.com/bronzeturn/bronzeturn/membership"
	"github.com/bronzeturn/bronzeturn/operator"
)

// statusSource reports the state of this daemon to operators.
type statusSource struct{ d *Daemon }

// Status implements operator.StatusSource.
func (s statusSource) Status(engines bool) *bronzeturnv1.DaemonStatus {
	d := s.d
	known := d.fleet.provider.Status()
	status := &bronzeturnv1.DaemonStatus{
		Name:              d.settings.GetName(),
		DataCentre:        d.settings.GetDataCentre(),
		Health:            bronzeturnv1.DaemonHealth_DAEMON_HEALTH_LIVE,
		GenerationInForce: known.Generation,
		NewestAccepted:    known.Accepted,
		NewsAge:           durationpb.New(known.NewsAge(time.Now())),
		Roles:             d.roles(),
		Rejected:          rejectedConfiguration(known.Accepted, known.Rejected),
		ProgramVersion:    d.options.ProgramVersion,
	}
	if d.leaving.Load() {
		status.Health = bronzeturnv1.DaemonHealth_DAEMON_HEALTH_LEAVING
	}
	status.Neighbours = d.sightings()
	if engines {
		status.Engines = d.engineStatuses()
	}
	return status
}

// rejectedConfiguration describes a configuration that failed validation with err.
// It returns nil without an error.
func rejectedConfiguration(generation uint64, err error) *bronzeturnv1.RejectedConfiguration {
	if err == nil {
		return nil
	}
	r := &bronzeturnv1.RejectedConfiguration{Generation: generation}
	var invalid *config.ValidationError
	if !errors.As(err, &invalid) {
		r.Faults = []*bronzeturnv1.FieldFault{{Message: err.Error()}}
		return r
	}
	for _, problem := range invalid.Problems {
		r.Faults = append(r.Faults, &bronzeturnv1.FieldFault{Path: problem.Path, Message: problem.Message})
	}
	return r
}

// sightings returns the health of the other daemons as this one sees it.
func (d *Daemon) sightings() []*bronzeturnv1.Sighting {
	var all []*bronzeturnv1.Sighting
	for _, m := range d.fleet.members.View().Members {
		if m.Name == d.settings.GetName() {
			continue
		}
		all = append(all, &bronzeturnv1.Sighting{
			Observer: d.settings.GetName(),
			Name:     m.Name,
			Health:   daemonHealth[m.State],
		})
	}
	return all
}

// daemonHealth maps the states of members to the health reported to operators.
var daemonHealth = map[membership.State]bronzeturnv1.DaemonHealth{
	membership.Live:      bronzeturnv1.DaemonHealth_DAEMON_HEALTH_LIVE,
	membership.Leaving:   bronzeturnv1.DaemonHealth_DAEMON_HEALTH_LEAVING,
	membership.Suspected: bronzeturnv1.DaemonHealth_DAEMON_HEALTH_SUSPECTED,
}

// engineStatuses returns the status of each engine that this daemon uses.
func (d *Daemon) engineStatuses() []*bronzeturnv1.EngineStatus {
	var all []*bronzeturnv1.EngineStatus
	for _, e := range d.compiler.visibleEngines() {
		health := bronzeturnv1.EngineHealth_ENGINE_HEALTH_LIVE
		if d.fleet.members.BackendLeaving(e.GetHost()) {
			health = bronzeturnv1.EngineHealth_ENGINE_HEALTH_LEAVING
		}
		all = append(all, &bronzeturnv1.EngineStatus{Name: e.GetName(), Pool: e.GetPool(), Health: health})
	}
	return all
}

// operatorPeers gives access to the other daemons for queries about the fleet.
type operatorPeers struct{ d *Daemon }

// Names implements operator.Peers.
func (p operatorPeers) Names() []string {
	var names []string
	for _, m := range p.d.fleet.members.View().Members {
		if m.Name != p.d.settings.GetName() {
			names = append(names, m.Name)
		}
	}
	return names
}

// Dial implements operator.Peers.
func (p operatorPeers) Dial(name string) (connect.HTTPClient, string, bool) {
	return p.d.fleet.directory.Dial(name)
}

// billSource reads the bills of the whole fleet from the ledger's objects.
type billSource struct{ d *Daemon }

// Totals implements operator.Bills.
func (b billSource) Totals(ctx context.Context, request *bronzeturnv1.BillsRequest) ([]*bronzeturnv1.BillTotal, error) {
	if request.GetFromDay() != "" || request.GetThroughDay() != "" {
		return b.totalsByDay(ctx, request)
	}
	totals, err := ledger.Totals(ctx, b.d.platform.store)
	if err != nil {
		return nil, err
	}
	var all []*bronzeturnv1.BillTotal
	for _, t := range totals {
		if wanted := request.GetOrganisation(); wanted != "" && wanted != t.Organisation {
			continue
		}
		all = append(all, &bronzeturnv1.BillTotal{
			Organisation: t.Organisation, Version: t.Version, Bills: t.Bills,
			PromptTokens: t.PromptTokens, CompletionTokens: t.CompletionTokens, CostMicros: t.CostMicros,
		})
	}
	return all, nil
}

// billKey is the key by which itemised bills are summed.
type billKey struct {
	organisation, version, day string
}

// totalsByDay sums the itemised bills by organisation, version and UTC day.
func (b billSource) totalsByDay(ctx context.Context, request *bronzeturnv1.BillsRequest) ([]*bronzeturnv1.BillTotal, error) {
	sums := make(map[billKey]*bronzeturnv1.BillTotal)
	err := ledger.EachBill(ctx, b.d.platform.store, func(bill ledger.Bill) error {
		key := billKey{bill.Organisation, bill.Version, bill.At.UTC().Format(time.DateOnly)}
		if !matchesRequest(request, key) {
			return nil
		}
		total := sums[key]
		if total == nil {
			total = &bronzeturnv1.BillTotal{Organisation: key.organisation, Version: key.version, Day: key.day}
			sums[key] = total
		}
		total.Bills++
		total.PromptTokens += bill.PromptTokens
		total.CompletionTokens += bill.CompletionTokens
		total.CostMicros += bill.CostMicros
		return nil
	})
	if err != nil {
		return nil, err
	}
	all := make([]*bronzeturnv1.BillTotal, 0, len(sums))
	for _, total := range sums {
		all = append(all, total)
	}
	slices.SortFunc(all, compareTotals)
	return all, nil
}

func matchesRequest(request *bronzeturnv1.BillsRequest, key billKey) bool {
	if o := request.GetOrganisation(); o != "" && o != key.organisation {
		return false
	}
	if from := request.GetFromDay(); from != "" && key.day < from {
		return false
	}
	through := request.GetThroughDay()
	return through == "" || key.day <= through
}

func compareTotals(a, b *bronzeturnv1.BillTotal) int {
	return cmp.Or(
		cmp.Compare(a.GetOrganisation(), b.GetOrganisation()),
		cmp.Compare(a.GetVersion(), b.GetVersion()),
		cmp.Compare(a.GetDay(), b.GetDay()),
	)
}

var (
	_ operator.StatusSource = statusSource{}
	_ operator.Peers        = operatorPeers{}
	_ operator.Bills        = billSource{}
)
