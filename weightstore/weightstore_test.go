package weightstore_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/jsoncall"
	"github.com/bronzeturn/bronzeturn/standin"
	"github.com/bronzeturn/bronzeturn/weightstore"
)

var ctx = context.Background()

func start(c *qt.C, cfg standin.WeightStoreConfig) (*standin.WeightStore, *weightstore.Client) {
	s := standin.NewWeightStore(cfg)
	server := httptest.NewServer(s)
	c.Cleanup(server.Close)
	return s, weightstore.New(server.URL, server.Client())
}

func TestStatAndFetch(t *testing.T) {
	c := qt.New(t)
	s, client := start(c, standin.WeightStoreConfig{
		Versions: map[string]int64{"diag/large@3": 2000}, BytesPerSecond: 1000,
	})
	weights, err := client.Stat(ctx, "diag/large@3")
	c.Assert(err, qt.IsNil)
	c.Assert(weights.Bytes, qt.Equals, int64(2000))
	c.Assert(weights.Version, qt.Equals, "diag/large@3")
	transfer, err := client.Fetch(ctx, "diag/large@3")
	c.Assert(err, qt.IsNil)
	c.Assert(transfer.Weights, qt.Equals, weights)
	c.Assert(transfer.Millis, qt.Equals, int64(2000))
	_, err = client.Stat(ctx, "other")
	c.Assert(err, qt.ErrorIs, weightstore.ErrNotFound)
	_, err = client.Fetch(ctx, "other")
	c.Assert(err, qt.ErrorIs, weightstore.ErrNotFound)

	s.SetFaults(standin.Faults{Refuse: true})
	_, err = client.Stat(ctx, "diag/large@3")
	var failed *jsoncall.Error
	c.Assert(errors.As(err, &failed), qt.IsTrue)
}

func TestRateLimitGivesATypedError(t *testing.T) {
	c := qt.New(t)
	_, client := start(c, standin.WeightStoreConfig{Versions: map[string]int64{"v": 1}, CallsPerSecond: 0.001})
	_, err := client.Fetch(ctx, "v")
	c.Assert(err, qt.IsNil)
	_, err = client.Fetch(ctx, "v")
	var limited *weightstore.RateLimitError
	c.Assert(errors.As(err, &limited), qt.IsTrue)
	c.Assert(limited.RetryAfter > 500*time.Second, qt.IsTrue)
}
