package router

import (
	"github.com/bronzeturn/bronzeturn/balance"
	"github.com/bronzeturn/bronzeturn/config"
	"github.com/bronzeturn/bronzeturn/selection"
)

// Tables is one configuration, compiled for the decisions. It is immutable and
// swapped whole; a request keeps the tables that it started with, but checks
// withdrawals against the newest ones at each dispatch.
type Tables struct {
	Snapshot *config.Snapshot
	Versions *selection.Plan
	Engines  *balance.Plan
}
