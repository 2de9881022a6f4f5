package rating_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/jsoncall"
	"github.com/bronzeturn/bronzeturn/rating"
	"github.com/bronzeturn/bronzeturn/standin"
)

var ctx = context.Background()

// start starts a simulated rating service and returns it with a client.
func start(c *qt.C, cfg standin.RatingServiceConfig) (*standin.RatingService, *rating.Client) {
	s := standin.NewRatingService(cfg)
	server := httptest.NewServer(s)
	c.Cleanup(server.Close)
	return s, rating.New(server.URL, server.Client())
}

func TestRatingsFollowQualityAndBias(t *testing.T) {
	c := qt.New(t)
	s, client := start(c, standin.RatingServiceConfig{
		Quality: []standin.Quality{{Version: "v", Quality: 0.8}, {Version: "v", Kind: "tag", Quality: 0.6}},
		Bias:    map[string]float64{"low": -0.5}, DefaultQuality: 0.3,
	})
	samples := []rating.Sample{
		{RequestID: "1", Organisation: "o", Version: "v", Kind: "quick"},
		{RequestID: "2", Organisation: "o", Version: "v", Kind: "tag"},
		{RequestID: "3", Organisation: "low", Version: "v", Kind: "quick"},
		{RequestID: "4", Organisation: "o", Version: "w", Kind: "quick"},
		{RequestID: "1", Organisation: "o", Version: "v", Kind: "quick"}, // Rated once.
	}
	for _, sample := range samples {
		c.Assert(client.Submit(ctx, sample), qt.IsNil)
	}
	s.SetQuality(standin.Quality{Version: "v", Quality: 0.1}) // The quality drops.
	c.Assert(client.Submit(ctx, rating.Sample{RequestID: "5", Version: "v", Kind: "quick"}), qt.IsNil)

	ratings, err := client.Poll(ctx, 0)
	c.Assert(err, qt.IsNil)
	want := []float64{0.8, 0.6, 0.3, 0.3, 0.1}
	c.Assert(ratings, qt.HasLen, len(want))
	for i, r := range ratings {
		c.Assert(r.Sequence, qt.Equals, uint64(i+1))
		c.Assert(r.Score-want[i] < 1e-9 && want[i]-r.Score < 1e-9, qt.IsTrue, qt.Commentf("%v", r))
	}
	ratings, err = client.Poll(ctx, 4)
	c.Assert(err, qt.IsNil)
	c.Assert(ratings, qt.HasLen, 1)
}

func TestRatingsArriveAfterLag(t *testing.T) {
	c := qt.New(t)
	s, client := start(c, standin.RatingServiceConfig{Lag: time.Hour})
	c.Assert(client.Submit(ctx, rating.Sample{RequestID: "1"}), qt.IsNil)
	ratings, err := client.Poll(ctx, 0)
	c.Assert(err, qt.IsNil)
	c.Assert(ratings, qt.HasLen, 0)
	s.SetFaults(standin.Faults{LagMillis: -time.Hour.Milliseconds()}) // Removes the lag.
	ratings, err = client.Poll(ctx, 0)
	c.Assert(err, qt.IsNil)
	c.Assert(ratings, qt.HasLen, 1)
}

func TestRepeatedSubmitIsRatedOnce(t *testing.T) {
	c := qt.New(t)
	s, client := start(c, standin.RatingServiceConfig{})
	s.SetFaults(standin.Faults{LoseAnswers: 1})
	sample := rating.Sample{RequestID: "1"}
	var failed *jsoncall.Error
	c.Assert(errors.As(client.Submit(ctx, sample), &failed), qt.IsTrue)
	c.Assert(client.Submit(ctx, sample), qt.IsNil)
	ratings, err := client.Poll(ctx, 0)
	c.Assert(err, qt.IsNil)
	c.Assert(ratings, qt.HasLen, 1)
}

func TestScoreOutOfRangeIsRejected(t *testing.T) {
	c := qt.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"ratings":[{"sequence":1,"score":1.5}]}`)
	}))
	defer server.Close()
	_, err := rating.New(server.URL, server.Client()).Poll(ctx, 0)
	var bad *rating.ScoreError
	c.Assert(errors.As(err, &bad), qt.IsTrue)
}
