package router

import (
	"github.com/bronzeturn/bronzeturn/balance"
	"github.com/bronzeturn/bronzeturn/config"
	"github.com/bronzeturn/bronzeturn/selection"
)

// Tables is one configuration, compiled for the choice of versions and engines. It is
// immutable and replaced as a whole. A request uses the tables that it started with, but
// checks withdrawals against the newest ones before each attempt.
type Tables struct {
	Snapshot *config.Snapshot
	Versions *selection.Plan
	Engines  *balance.Plan
}
