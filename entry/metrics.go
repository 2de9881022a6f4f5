package entry

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"github.com/bronzeturn/bronzeturn/follow"
	"github.com/bronzeturn/bronzeturn/objectstore"
)

// registerGauges registers the gauges of the daemon's current state.
func (d *Daemon) registerGauges() {
	f := promauto.With(d.registry)
	gauge := func(name, help string, value func() float64) {
		f.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value)
	}
	gauge("bronzeturn_entry_config_version", "Version of the configuration in force, 0 for none.", func() float64 {
		if t := d.tables.Load(); t != nil && t.Routes != nil {
			return float64(t.Routes.Version)
		}
		return 0
	})
	gauge("bronzeturn_entry_config_unconfirmed_seconds", "Time since the store or another daemon confirmed the configuration.", func() float64 {
		return d.copies.config.UnconfirmedFor(time.Now()).Seconds()
	})
	gauge("bronzeturn_entry_engines", "Engines that receive requests.", func() float64 { return float64(len(d.engines.View().Engines)) })
	gauge("bronzeturn_entry_evacuated_data_centres", "Data centres whose engines receive no new requests.", func() float64 { return float64(len(d.evacuated.list())) })
	gauge("bronzeturn_entry_daemons_live", "Daemons of the fleet that are live, this one included.", func() float64 { return float64(d.fleet.Live()) })
	gauge("bronzeturn_entry_ready", "1 while the daemon accepts requests.", func() float64 {
		if d.Ready() != nil {
			return 0
		}
		return 1
	})
}

// countedStore counts and times the calls to the platform's store.
type countedStore struct {
	store   Store
	calls   *prometheus.CounterVec
	seconds *prometheus.HistogramVec
}

func newCountedStore(store Store, r prometheus.Registerer) *countedStore {
	f := promauto.With(r)
	return &countedStore{
		store: store,
		calls: f.NewCounterVec(prometheus.CounterOpts{
			Name: "bronzeturn_entry_store_calls_total", Help: "Calls to the platform's store by operation, cause of lists and outcome.",
		}, []string{"operation", "cause", "outcome"}),
		seconds: f.NewHistogramVec(prometheus.HistogramOpts{
			Name: "bronzeturn_entry_store_call_seconds", Help: "Duration of calls to the platform's store; watches wait for changes.",
			Buckets: prometheus.ExponentialBuckets(0.001, 3, 9),
		}, []string{"operation"}),
	}
}

// done records a completed call. Only lists have a cause.
func (s *countedStore) done(operation string, cause follow.Cause, began time.Time, err error) {
	s.calls.WithLabelValues(operation, cause.String(), storeOutcome(err)).Inc()
	s.seconds.WithLabelValues(operation).Observe(time.Since(began).Seconds())
}

// storeOutcome returns the label value for the outcome of a call.
func storeOutcome(err error) string {
	var conflict *objectstore.ConflictError
	var limited *objectstore.RateLimitError
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, objectstore.ErrNotFound):
		return "not_found"
	case errors.Is(err, follow.ErrHistoryGone):
		return "history_gone"
	case errors.As(err, &conflict):
		return "conflict"
	case errors.As(err, &limited):
		return "rate_limited"
	}
	return "unavailable"
}

// List implements follow.Source.
func (s *countedStore) List(ctx context.Context, kind string, o follow.ListOptions) (page *follow.Page, err error) {
	defer func(began time.Time) { s.done("list", o.Cause, began, err) }(time.Now())
	return s.store.List(ctx, kind, o)
}

// Watch implements follow.Source.
func (s *countedStore) Watch(ctx context.Context, kind string, after uint64, wait time.Duration) (changes *follow.Changes, err error) {
	defer func(began time.Time) { s.done("watch", follow.CauseNone, began, err) }(time.Now())
	return s.store.Watch(ctx, kind, after, wait)
}

// Get implements bootstrap.Store.
func (s *countedStore) Get(ctx context.Context, key string) (object objectstore.Object, err error) {
	defer func(began time.Time) { s.done("get", follow.CauseNone, began, err) }(time.Now())
	return s.store.Get(ctx, key)
}

// Create implements bootstrap.Store.
func (s *countedStore) Create(ctx context.Context, key string, value []byte) (object objectstore.Object, err error) {
	defer func(began time.Time) { s.done("create", follow.CauseNone, began, err) }(time.Now())
	return s.store.Create(ctx, key, value)
}

// Update implements bootstrap.Store.
func (s *countedStore) Update(ctx context.Context, key string, value []byte, revision uint64) (object objectstore.Object, err error) {
	defer func(began time.Time) { s.done("update", follow.CauseNone, began, err) }(time.Now())
	return s.store.Update(ctx, key, value, revision)
}

// Delete implements quarantine.Store.
func (s *countedStore) Delete(ctx context.Context, key string, revision uint64) (err error) {
	defer func(began time.Time) { s.done("delete", follow.CauseNone, began, err) }(time.Now())
	return s.store.Delete(ctx, key, revision)
}

// SetStatus implements Store.
func (s *countedStore) SetStatus(ctx context.Context, kind, name string, revision uint64, status json.RawMessage) (err error) {
	defer func(began time.Time) { s.done("status", follow.CauseNone, began, err) }(time.Now())
	return s.store.SetStatus(ctx, kind, name, revision, status)
}
