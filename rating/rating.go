// Package rating is a client of the rating service, which rates samples of answers.
// Ratings arrive with a delay, and some samples are never rated.
package rating

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"

	"github.com/bronzeturn/bronzeturn/jsoncall"
)

// Paths of the rating service.
const (
	PathSamples = "/v1/samples"
	PathRatings = "/v1/ratings"
)

// Sample asks for a rating of the answer to one request.
type Sample struct {
	RequestID    string `json:"request_id"`
	Organisation string `json:"organisation"`
	Version      string `json:"version"`
	Kind         string `json:"kind"`
	// Accepted reports whether the answer passed the check of a cascade.
	Accepted bool `json:"accepted,omitempty"`
}

// Rating is the rating of one sample.
type Rating struct {
	// Sequence increases with every rating of the service.
	Sequence     uint64 `json:"sequence"`
	RequestID    string `json:"request_id"`
	Organisation string `json:"organisation"`
	Version      string `json:"version"`
	Kind         string `json:"kind"`
	// Accepted reports whether the answer passed the check of a cascade.
	Accepted bool `json:"accepted,omitempty"`
	// Score is the quality of the answer, 0 to 1.
	Score float64 `json:"score"`
}

// Ratings is the response body of a poll.
type Ratings struct {
	Ratings []Rating `json:"ratings"`
}

// ScoreError reports a rating with a score outside 0 to 1.
type ScoreError struct {
	Rating Rating
}

// Error implements error.
func (e *ScoreError) Error() string {
	return fmt.Sprintf("rating %d has score %v, outside 0 to 1", e.Rating.Sequence, e.Rating.Score)
}

// Client submits samples and polls for ratings.
type Client struct {
	calls *jsoncall.Client
}

// New returns a Client for the service at baseURL. A nil client means
// http.DefaultClient.
func New(baseURL string, client *http.Client) *Client {
	return &Client{calls: jsoncall.New(baseURL, client)}
}

// Submit requests a rating. If the response is lost, the sample may have been
// accepted. Submit may be repeated, as the service rates each request ID once. The
// error wraps a *jsoncall.Error.
func (c *Client) Submit(ctx context.Context, s Sample) error {
	if err := c.calls.Post(ctx, PathSamples, s, nil); err != nil {
		return fmt.Errorf("submit sample: %w", err)
	}
	return nil
}

// Poll returns the ratings with a sequence above after, in ascending order and at
// most one page. The error wraps a *jsoncall.Error or is a *ScoreError.
func (c *Client) Poll(ctx context.Context, after uint64) ([]Rating, error) {
	query := url.Values{"after": {strconv.FormatUint(after, 10)}}
	var page Ratings
	if err := c.calls.Get(ctx, PathRatings+"?"+query.Encode(), &page); err != nil {
		return nil, fmt.Errorf("poll ratings: %w", err)
	}
	for _, r := range page.Ratings {
		if !(r.Score >= 0 && r.Score <= 1) {
			return nil, &ScoreError{Rating: r}
		}
	}
	return page.Ratings, nil
}
