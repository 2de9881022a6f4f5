package standin

import (
	"errors"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/bronzeturn/bronzeturn/engine"
)

// ordersKept bounds the number of order ids kept for deduplication.
const ordersKept = 1024

var (
	errFenced = errors.New("a higher fencing number was met")
	errOrder  = errors.New("unknown operation")
)

// orders holds the versions and the role of an engine and applies orders to them.
type orders struct {
	checkFencing bool
	loadTime     time.Duration

	mu sync.Mutex
	// ready is the time at which each version is loaded.
	ready   map[string]time.Time
	role    string
	fencing uint64
	seen    *counter
}

func newOrders(cfg EngineConfig) orders {
	ready := make(map[string]time.Time, len(cfg.Versions))
	for _, v := range cfg.Versions {
		ready[v] = time.Time{}
	}
	return orders{
		checkFencing: cfg.CheckFencing, loadTime: cfg.LoadTime,
		ready: ready, role: cfg.Role, seen: newCounter(ordersKept),
	}
}

// isLoaded reports whether the version is loaded.
func (o *orders) isLoaded(now time.Time, version string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	at, ok := o.ready[version]
	return ok && !now.Before(at)
}

// state returns the engine's versions, role and fencing number.
func (o *orders) state(now time.Time) engine.State {
	o.mu.Lock()
	defer o.mu.Unlock()
	state := engine.State{Versions: []string{}, Loading: []string{}, Role: o.role, Fencing: o.fencing}
	for _, v := range slices.Sorted(maps.Keys(o.ready)) {
		if now.Before(o.ready[v]) {
			state.Loading = append(state.Loading, v)
		} else {
			state.Versions = append(state.Versions, v)
		}
	}
	return state
}

// apply executes an order, unless its id was received before.
func (o *orders) apply(now time.Time, order engine.Order) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.checkFencing {
		if order.Fencing < o.fencing {
			return errFenced
		}
		o.fencing = order.Fencing
	}
	if o.seen.add(order.ID) > 1 {
		return nil
	}
	switch order.Op {
	case engine.OpLoad:
		if _, ok := o.ready[order.Version]; !ok {
			o.ready[order.Version] = now.Add(o.loadTime)
		}
	case engine.OpUnload:
		delete(o.ready, order.Version)
	case engine.OpSetRole:
		o.role = order.Role
	default:
		return errOrder
	}
	return nil
}

// order applies an order and responds with the resulting state of the engine.
func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var order engine.Order
	if !readJSON(w, r, &order) {
		return
	}
	now := time.Now()
	switch err := e.orders.apply(now, order); {
	case errors.Is(err, errFenced):
		writeNotRun(w, http.StatusConflict, engine.ErrorTypeFenced, err.Error())
	case err != nil:
		writeNotRun(w, http.StatusBadRequest, "invalid_request_error", err.Error())
	default:
		writeJSON(w, e.orders.state(now))
	}
}
