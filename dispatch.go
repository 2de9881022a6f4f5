package bronzeturn

import (
	"context"
	"time"

	"github.com/bronzeturn/bronzeturn/engine"
	"github.com/bronzeturn/bronzeturn/failure"
	"github.com/bronzeturn/bronzeturn/plainservice"
	"github.com/bronzeturn/bronzeturn/router"
)

// dispatchGate checks, at the moment of each dispatch, what may have changed
// since the router decided: a daemon that stood still in between may hold a
// decision from before a withdrawal.
type dispatchGate struct {
	fresh  func(now time.Time) *failure.Error
	tables func() *router.Tables
}

// refusal returns why nothing may be dispatched now, or nil. An empty version
// stands for a plain service.
func (g dispatchGate) refusal(version string) *failure.Error {
	if f := g.fresh(time.Now()); f != nil {
		return f
	}
	if _, withdrawn := g.tables().Snapshot.Withdrawn(version); withdrawn {
		return failure.New(failure.CodeVersionWithdrawn, failure.RanNo, "version %s is withdrawn", version)
	}
	return nil
}

// gatedEngines sends to engines through the gate.
type gatedEngines struct {
	gate dispatchGate
	next router.EngineClient
}

// Open implements router.EngineClient.
func (g gatedEngines) Open(ctx context.Context, r engine.Request) (*engine.Stream, error) {
	if f := g.gate.refusal(r.Version); f != nil {
		return nil, &engine.Error{Kind: engine.Refused, Ran: failure.RanNo, RetryAfter: f.RetryAfter}
	}
	return g.next.Open(ctx, r)
}

// gatedServices calls plain services through the gate.
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
	return dispatchGate{fresh: d.awaitFresh, tables: d.tables.Load}
}
