package bronzeturn

import (
	"context"
	"time"

	"github.com/bronzeturn/bronzeturn/engine"
	"github.com/bronzeturn/bronzeturn/failure"
	"github.com/bronzeturn/bronzeturn/plainservice"
	"github.com/bronzeturn/bronzeturn/router"
)

// dispatchGate checks, right before each dispatch, that the router's decision
// still holds. If the process was paused after the decision, the version may
// have been withdrawn since.
type dispatchGate struct {
	checkFresh func(now time.Time) *failure.Error
	tables     func() *router.Tables
}

// refusal returns the reason why a request to the version must not be dispatched
// now, or nil. Calls of plain services have an empty version.
func (g dispatchGate) refusal(version string) *failure.Error {
	if f := g.checkFresh(time.Now()); f != nil {
		return f
	}
	if _, withdrawn := g.tables().Snapshot.Withdrawal(version); withdrawn {
		return failure.New(failure.CodeVersionWithdrawn, failure.RanNo, "version %s is withdrawn", version)
	}
	return nil
}

// gatedEngines sends requests to engines after the gate's check.
type gatedEngines struct {
	gate dispatchGate
	next router.EngineClient
}

// Open implements router.EngineClient.
func (g gatedEngines) Open(ctx context.Context, r engine.Request) (*engine.Stream, error) {
	if f := g.gate.refusal(r.Version); f != nil {
		return nil, &engine.Error{Kind: engine.KindRefused, Ran: failure.RanNo, RetryAfter: f.RetryAfter}
	}
	return g.next.Open(ctx, r)
}

// gatedServices calls plain services after the gate's check.
type gatedServices struct {
	gate dispatchGate
	next router.ServiceClient
}

// Call implements router.ServiceClient.
func (g gatedServices) Call(ctx context.Context, c plainservice.Call) (*plainservice.Response, error) {
	if f := g.gate.refusal(""); f != nil {
		return nil, &plainservice.Error{Kind: plainservice.KindRefused, Ran: failure.RanNo}
	}
	return g.next.Call(ctx, c)
}

func (d *Daemon) dispatchGate() dispatchGate {
	return dispatchGate{checkFresh: d.awaitFresh, tables: d.tables.Load}
}
