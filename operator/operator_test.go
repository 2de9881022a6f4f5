package operator

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
)

const (
	live        = bronzeturnv1.DaemonHealth_DAEMON_HEALTH_LIVE
	leaving     = bronzeturnv1.DaemonHealth_DAEMON_HEALTH_LEAVING
	suspected   = bronzeturnv1.DaemonHealth_DAEMON_HEALTH_SUSPECTED
	unreachable = bronzeturnv1.DaemonHealth_DAEMON_HEALTH_UNREACHABLE
)

// daemon is a fake of one daemon and of the HTTP client that reaches it.
type daemon struct {
	status *bronzeturnv1.DaemonStatus
	fleet  *fleet
	// silent leaves requests unanswered.
	silent bool
	// noAddress makes the daemon's address unknown to the others.
	noAddress bool
}

func (d *daemon) Status(engines bool) *bronzeturnv1.DaemonStatus {
	status := proto.CloneOf(d.status)
	if !engines {
		status.Engines = nil
	}
	return status
}

// Do implements connect.HTTPClient on the daemon's handler.
func (d *daemon) Do(request *http.Request) (*http.Response, error) {
	now := d.fleet.inFlight.Add(1)
	defer d.fleet.inFlight.Add(-1)
	for {
		most := d.fleet.maxInFlight.Load()
		if now <= most || d.fleet.maxInFlight.CompareAndSwap(most, now) {
			break
		}
	}
	if d.silent {
		<-request.Context().Done()
		return nil, request.Context().Err()
	}
	_, handler := NewServer(d, d.fleet, d.fleet).Handler()
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, request)
	return w.Result(), nil
}

// fleet is a fake of the peers and of the ledger of its first daemon.
type fleet struct {
	daemons               []*daemon
	inFlight, maxInFlight atomic.Int64
	bills                 []*bronzeturnv1.BillTotal
	billsFault            error
}

func (f *fleet) Names() []string {
	var names []string
	for _, d := range f.daemons[1:] {
		names = append(names, d.status.GetName())
	}
	return names
}

func (f *fleet) Dial(name string) (connect.HTTPClient, string, bool) {
	for _, d := range f.daemons {
		if d.status.GetName() == name {
			return d, "http://" + name, !d.noAddress
		}
	}
	return nil, "", false
}

func (f *fleet) Totals(context.Context, *bronzeturnv1.BillsRequest) ([]*bronzeturnv1.BillTotal, error) {
	return f.bills, f.billsFault
}

// newFleet returns n live daemons that all have generation 7 in force.
func newFleet(n int) *fleet {
	f := &fleet{}
	for i := range n {
		f.daemons = append(f.daemons, &daemon{fleet: f, status: &bronzeturnv1.DaemonStatus{
			Name:              fmt.Sprintf("h%03d", n-i),
			Health:            live,
			GenerationInForce: 7,
			NewestAccepted:    7,
			Engines:           []*bronzeturnv1.EngineStatus{{Name: "e1"}},
		}})
	}
	return f
}

// requestStatus sends a status request to the first daemon, as an operator does.
func (f *fleet) requestStatus(t *testing.T, request *bronzeturnv1.StatusRequest) *bronzeturnv1.StatusResponse {
	t.Helper()
	answer, err := NewClient(f.daemons[0], "http://first").Status(t.Context(), connect.NewRequest(request))
	qt.Assert(t, err, qt.IsNil)
	return answer.Msg
}

// TestStatusQueriesEveryDaemon runs in virtual time: a query has a time-out, which a test process that
// gets no CPU time would exceed.
func TestStatusQueriesEveryDaemon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(100)
		answer := f.requestStatus(t, &bronzeturnv1.StatusRequest{Engines: true})
		c.Assert(answer.GetDaemons(), qt.HasLen, 100)
		for i, d := range answer.GetDaemons() {
			c.Check(d.GetName(), qt.Equals, fmt.Sprintf("h%03d", i+1))
			c.Check(d.GetEngines(), qt.HasLen, 1)
		}
		c.Check(ProgressText(answer.GetConfiguration()), qt.Equals, "in force")
		c.Check(f.maxInFlight.Load() <= maxConcurrentQueries+1, qt.IsTrue, qt.Commentf("%d queries at once", f.maxInFlight.Load()))
		local := f.requestStatus(t, &bronzeturnv1.StatusRequest{LocalOnly: true})
		c.Assert(local.GetDaemons(), qt.HasLen, 1)
		c.Check(local.GetDaemons()[0].GetEngines(), qt.HasLen, 0)
	})
}

func TestSilentDaemonIsReportedWithWhatOthersKnow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(4)
		f.daemons[2].silent = true // h002
		f.daemons[1].status.Neighbours = []*bronzeturnv1.Sighting{{Observer: "h003", Name: "h002", Health: suspected}}
		start := time.Now()
		answer := f.requestStatus(t, &bronzeturnv1.StatusRequest{})
		c.Check(time.Since(start), qt.Equals, queryTimeout)
		silent := answer.GetDaemons()[1]
		c.Check(silent.GetName(), qt.Equals, "h002")
		c.Check(silent.GetHealth(), qt.Equals, unreachable)
		c.Check(silent.GetFault(), qt.Not(qt.Equals), "")
		c.Assert(silent.GetSeenBy(), qt.HasLen, 1)
		c.Check(silent.GetSeenBy()[0].GetObserver(), qt.Equals, "h003")
		c.Check(ProgressText(answer.GetConfiguration()), qt.Equals, "in force on 3 of 4")
	})
}

func TestSilentFleetIsBoundedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(410)
		for _, d := range f.daemons[1:] {
			d.silent = true
		}
		start := time.Now()
		answer := f.requestStatus(t, &bronzeturnv1.StatusRequest{})
		qt.Check(t, time.Since(start), qt.Equals, fleetTimeout)
		qt.Check(t, answer.GetDaemons(), qt.HasLen, 410)
		qt.Check(t, answer.GetConfiguration().GetInForceOn(), qt.Equals, uint32(1))
	})
}

func TestDaemonWithoutAddressIsUnreachable(t *testing.T) {
	f := newFleet(2)
	f.daemons[1].noAddress = true
	answer := f.requestStatus(t, &bronzeturnv1.StatusRequest{})
	qt.Check(t, answer.GetDaemons()[0].GetFault(), qt.Equals, errNoAddress.Error())
}

func TestProgressOfNewestConfiguration(t *testing.T) {
	type d = bronzeturnv1.DaemonStatus
	tests := []struct {
		name    string
		daemons []*d
		want    string
	}{
		{"no configuration", []*d{{Health: live}}, "none"},
		{"accepted only", []*d{{Health: live, GenerationInForce: 1, NewestAccepted: 2}, {Health: live, GenerationInForce: 1, NewestAccepted: 1}}, "accepted"},
		{"on some", []*d{{Health: live, GenerationInForce: 2, NewestAccepted: 2}, {Health: live, GenerationInForce: 1, NewestAccepted: 1}}, "in force on 1 of 2"},
		{"on all", []*d{{Health: live, GenerationInForce: 2, NewestAccepted: 2}, {Health: suspected, GenerationInForce: 2, NewestAccepted: 2}}, "in force"},
		{"leaving ones don't count", []*d{{Health: live, GenerationInForce: 2, NewestAccepted: 2}, {Health: leaving, GenerationInForce: 1}}, "in force"},
		{"unreachable ones count as without", []*d{{Health: live, GenerationInForce: 2, NewestAccepted: 2}, {Health: unreachable}}, "in force on 1 of 2"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			qt.Check(t, ProgressText(summarise(test.daemons).GetConfiguration()), qt.Equals, test.want)
		})
	}
}

func TestBills(t *testing.T) {
	c := qt.New(t)
	f := newFleet(1)
	f.bills = []*bronzeturnv1.BillTotal{{Organisation: "b"}, {Organisation: "a", Version: "y"}, {Organisation: "a", Version: "x"}}
	client := NewClient(f.daemons[0], "http://first")
	answer, err := client.Bills(t.Context(), connect.NewRequest(&bronzeturnv1.BillsRequest{}))
	c.Assert(err, qt.IsNil)
	c.Check(answer.Msg.GetTotals()[0].GetVersion(), qt.Equals, "x")
	c.Check(answer.Msg.GetTotals()[2].GetOrganisation(), qt.Equals, "b")

	for _, days := range [][2]string{{"yesterday", ""}, {"", "2026-13-01"}, {"2026-01-02", "2026-01-01"}} {
		request := &bronzeturnv1.BillsRequest{FromDay: days[0], ThroughDay: days[1]}
		_, err := client.Bills(t.Context(), connect.NewRequest(request))
		c.Check(connect.CodeOf(err), qt.Equals, connect.CodeInvalidArgument, qt.Commentf("%v", days))
	}
	f.billsFault = errors.New("store down")
	_, err = client.Bills(t.Context(), connect.NewRequest(&bronzeturnv1.BillsRequest{}))
	c.Check(connect.CodeOf(err), qt.Equals, connect.CodeUnavailable)
}
