package gateway

import (
	"net/http"
	"time"
)

// Part is a part of a prompt that several requests may share.
type Part struct {
	ID     string
	Tokens int
}

// Meta is the metadata in a request's headers.
type Meta struct {
	// ID is unique for each request; a caller's retry has another one.
	ID string
	// Key is the caller's API key, "" for none.
	Key string
	// Wait is the caller's timeout, zero if not stated.
	Wait time.Duration
	// AnyModel is set if the daemon is to pick the model.
	AnyModel bool
	// PromptTokens is the size of the prompt and MaxTokens the maximum length of the
	// answer, zero if not stated. LikelyTokens is the length that the caller expects.
	PromptTokens, MaxTokens, LikelyTokens int
	// Parts holds the parts of the prompt in order. The last one belongs to the request
	// or its session only.
	Parts []Part
	// Session identifies requests that belong together, "" for none.
	Session string
	// LastEvent is the id of the last event that the caller has received, if it resumes
	// a stream, "" for none.
	LastEvent string
}

// Sent is the metadata that the daemon adds to a request to an engine.
type Sent struct {
	Organisation string
	// Instance is the id of the engine that the request is meant for.
	Instance string
	// Left is the time to the deadline.
	Left time.Duration
	// Model is the model picked by the daemon, "" if the caller named one.
	Model string
	// Priority is 0 for the most urgent requests.
	Priority int
	// LastEvent makes the engine resume a stream after the event with this id.
	LastEvent string
	// HasPriorities is set if the engines of the service support priorities.
	HasPriorities bool
}

// Receipt is the metadata in the headers of an engine's answer.
type Receipt struct {
	// RequestID echoes the request's id.
	RequestID string
	// Genuine is set if the headers show that the answer comes from an engine.
	Genuine bool
	// NotRun is set if the engine states that it has not run the request.
	NotRun bool
	// Instance is the id of an engine that refused the request because it was meant for
	// another one, "" if it did not state it.
	Instance string
	// Confidence is the confidence of the model in its answer, 0 to 100, or -1 if the
	// model reported none.
	Confidence int
	// Limit is the number of requests per second that the engine accepts from all daemons
	// together, or backpressure.NoLimit if the engine states none.
	Limit float64
	// Tolerated is the number of requests per second that the engine can refuse without
	// crashing, or backpressure.NotBrittle if the engine states none.
	Tolerated float64
	// RetryAfter is the time for which the engine asks this daemon for no requests, zero if it
	// does not ask.
	RetryAfter time.Duration
	// Leaving is set if the engine states that it finishes its current requests and then ends.
	Leaving bool
}

// Codec reads and writes the headers of a deployment.
type Codec interface {
	// Meta reads a caller's headers.
	Meta(h http.Header) Meta
	// Strip removes the headers that must not reach an engine from a caller, such as
	// its key.
	Strip(h http.Header)
	// Apply sets the headers that the daemon adds for an engine.
	Apply(h http.Header, s Sent)
	// Receipt reads an engine's headers.
	Receipt(status int, h http.Header) Receipt
	// ReportedStart returns the start time that an engine's report states, zero if it states none. ok is false if
	// body is no report.
	ReportedStart(body []byte) (started time.Time, ok bool)
	// Refuse sets the headers of a refusal. A zero retryAfter is omitted.
	Refuse(h http.Header, requestID string, retryAfter time.Duration)
}
