package fleetbench

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/bronzeturn/bronzeturn/config"
	"github.com/bronzeturn/bronzeturn/engine"
	"github.com/bronzeturn/bronzeturn/hostlist"
	"github.com/bronzeturn/bronzeturn/objectstore/memstore"
	"github.com/bronzeturn/bronzeturn/overload"
)

func TestGeneratedRegisterIsTheSameEveryTime(t *testing.T) {
	first, firstRules, err := Generate(TargetSize())
	qt.Assert(t, err, qt.IsNil)
	second, secondRules, err := Generate(TargetSize())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, proto.Equal(first, second), qt.IsTrue)
	qt.Assert(t, proto.Equal(firstRules, secondRules), qt.IsTrue)
	qt.Assert(t, first.GetEngines(), qt.HasLen, 5300)
	qt.Assert(t, first.GetOrganisations(), qt.HasLen, 300)
	qt.Assert(t, first.GetVersions(), qt.HasLen, 36)
}

// Bounds on the cost of a change of one engine at the target size.
const (
	maxHeadBytes = 3500
	maxPartBytes = 18 << 10
	// The head, and the part that the previous change stored.
	maxChangeReads = 2
	// The part and the head.
	maxChangeWrites = 2
)

func TestCostOfChangesAtTargetSize(t *testing.T) {
	c := qt.New(t)
	store := memstore.New()
	register, rules, err := Generate(TargetSize())
	c.Assert(err, qt.IsNil)
	p := &publisher{config: config.NewPublisher(config.PublisherOptions{Store: store}), register: register, rules: rules}
	_, err = p.publishInitial(t.Context())
	c.Assert(err, qt.IsNil)
	_, err = p.publishNextChange(t.Context()) // After this change the publisher knows the stored parts.
	c.Assert(err, qt.IsNil)
	for range 5 {
		before := store.Counts()
		result, err := p.publishNextChange(t.Context())
		c.Assert(err, qt.IsNil)
		after := store.Counts()
		t.Logf("head %d bytes, part %d bytes, %d reads, %d writes", result.HeadBytes, result.NewBytes,
			after.Reads-before.Reads, after.Writes-before.Writes)
		c.Check(result.NewParts, qt.Equals, 1)
		c.Check(result.HeadBytes <= maxHeadBytes, qt.IsTrue)
		c.Check(result.NewBytes <= maxPartBytes, qt.IsTrue)
		c.Check(after.Reads-before.Reads <= maxChangeReads, qt.IsTrue)
		c.Check(after.Writes-before.Writes <= maxChangeWrites, qt.IsTrue)
	}
}

// maxHostBytes bounds the size of a host in an answer of the host list. At the target
// size a whole answer is far larger than a daemon's budget of control traffic, see
// docs/CAPACITY.md.
const maxHostBytes = 100

func TestSizeOfTheHostListAtTargetSize(t *testing.T) {
	const daemons = 410
	register, _, err := Generate(TargetSize())
	qt.Assert(t, err, qt.IsNil)
	p := &platform{register: register}
	list := hostlist.List{Revision: 1, Hosts: p.hostEntries(daemons)}
	qt.Assert(t, list.Hosts, qt.HasLen, 5300+daemons)
	for i := range list.Hosts {
		list.Hosts[i].Revision = 1
	}
	body, err := json.Marshal(list)
	qt.Assert(t, err, qt.IsNil)
	t.Logf("%d bytes, %d a host", len(body), len(body)/len(list.Hosts))
	qt.Assert(t, len(body) <= maxHostBytes*len(list.Hosts), qt.IsTrue)
}

// maxReportBytes bounds the request and the answer of a load report of an idle engine,
// headers included.
const maxReportBytes = 480

func TestBytesOfOneLoadReport(t *testing.T) {
	c := qt.New(t)
	p, err := startPlatform(ExistingSize(), 1)
	c.Assert(err, qt.IsNil)
	defer p.stop()
	transport := &http.Transport{DisableCompression: true}
	defer transport.CloseIdleConnections()
	reports := engine.NewControlClient(transport, overload.NewAccount(0))
	bytesSoFar := func() uint64 { return p.traffic[systemEngines].in.Load() + p.traffic[systemEngines].out.Load() }
	address := p.register.GetEngines()[0].GetAddress()
	_, err = reports.Load(t.Context(), address)
	c.Assert(err, qt.IsNil)
	before := bytesSoFar()
	_, err = reports.Load(t.Context(), address)
	c.Assert(err, qt.IsNil)
	t.Logf("%d bytes", bytesSoFar()-before)
	c.Assert(bytesSoFar()-before <= maxReportBytes, qt.IsTrue)
}

func TestRunMeasuresAFleet(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	err := Run(t.Context(), Options{
		Daemons: 3, Size: ExistingSize(), Idle: 100 * time.Millisecond, Changes: 2,
		Rate: 10, RateTime: 200 * time.Millisecond, Output: &out,
	})
	c.Assert(err, qt.IsNil)
	for _, line := range []string{"all ready after", "idle", "2 changes, one by one", "10 changes a second", "in force everywhere"} {
		c.Check(out.String(), qt.Contains, line)
	}
}

func TestOptionsOutOfBoundsAreRefused(t *testing.T) {
	for name, o := range map[string]Options{
		"no daemon":        {Size: ExistingSize()},
		"too many changes": {Daemons: 1, Size: ExistingSize(), Changes: maxChanges + 1},
		"endless":          {Daemons: 1, Size: ExistingSize(), Idle: time.Hour},
		"all lost":         {Daemons: 2, Size: ExistingSize(), Loss: 2},
		"empty register":   {Daemons: 1},
	} {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, Run(context.Background(), o), qt.ErrorIs, ErrOptions)
		})
	}
}

func TestPercentile(t *testing.T) {
	all := []time.Duration{4, 1, 3, 2}
	for _, tt := range []struct {
		share float64
		want  time.Duration
	}{{0.01, 1}, {0.5, 2}, {0.75, 3}, {0.99, 4}, {1, 4}} {
		qt.Check(t, percentile(all, tt.share), qt.Equals, tt.want)
	}
	qt.Check(t, percentile(nil, 0.5), qt.Equals, time.Duration(0))
}

func TestProgressReportsWhenAllDaemonsReachAGeneration(t *testing.T) {
	c := qt.New(t)
	p := newProgress(2)
	e := p.expect(2)
	line := []byte(`{"level":"info","generation":2,"engines":12,"message":"configuration in force"}` + "\n")
	early := []byte(`{"level":"info","generation":2,"source":"peer","message":"configuration in force"}` + "\n")
	_, err := p.writer(0).Write(early)
	c.Assert(err, qt.IsNil)
	for _, part := range [][]byte{line[:9], line[9:]} {
		_, err := p.writer(0).Write(part)
		c.Assert(err, qt.IsNil)
	}
	c.Assert(e.missing, qt.Equals, 2) // The line without engines does not count, nor do two halves of a line at two writers.
	for i := range 2 {
		w := p.writer(i)
		for _, part := range [][]byte{line[:9], line[9:]} {
			_, err := w.Write(part)
			c.Assert(err, qt.IsNil)
		}
	}
	reached, err := p.wait(t.Context(), e)
	c.Assert(err, qt.IsNil)
	c.Assert(reached, qt.HasLen, 2)
	c.Assert(p.expectations, qt.HasLen, 0)
}

func TestProcessorTimeExcludesEndedProcesses(t *testing.T) {
	before := usage{cpu: map[int]time.Duration{0: 5, 1: 7}}
	after := usage{cpu: map[int]time.Duration{1: 9}}
	qt.Assert(t, after.cpuSince(before), qt.Equals, time.Duration(2))
}
