package gateway

import (
	"net/http"
	"time"
)

// Part is one part of a prompt that requests may share.
type Part struct {
	ID     string
	Tokens int
}

// Meta is what a request says of itself in its headers.
type Meta struct {
	// ID is unique for each request of a caller; a repeat has another one.
	ID string
	// Key is the caller's API key, "" for none.
	Key string
	// Wait is how long the caller waits, zero if it does not say.
	Wait time.Duration
	// AnyModel tells that the daemon picks the model.
	AnyModel bool
	// PromptTokens and MaxTokens are the size of the prompt and the bound of the
	// answer, zero if not stated. LikelyTokens is the caller's guess.
	PromptTokens, MaxTokens, LikelyTokens int
	// Parts are the parts of the prompt in order. The last one is the request's
	// or its session's own.
	Parts []Part
	// Session names requests that belong together, "" for none.
	Session string
	// LastEvent is the id of the last event that the caller has, "" for none.
	LastEvent string
}

// Sent is what the daemon adds to a request for one engine.
type Sent struct {
	Organisation string
	// Instance is the engine that is meant.
	Instance string
	// Left is how long the caller still waits.
	Left time.Duration
	// Model is set when the daemon picked it.
	Model string
	// Priority is 0 for the most urgent requests.
	Priority int
	// LastEvent makes the engine continue a stream after that event.
	LastEvent string
	// Ranked tells whether engines of the service heed priorities.
	Ranked bool
}

// Receipt is what an answer says of itself in its headers.
type Receipt struct {
	// RequestID echoes the request's id.
	RequestID string
	// Genuine tells that the engine has put its mark on the answer.
	Genuine bool
	// NotRun is the engine's word that it has not run the request.
	NotRun bool
	// Instance is the engine that refused because another one was meant, "" when
	// it did not say so.
	Instance string
	// Confidence is the model's own opinion of its answer, 0 to 100, or -1.
	Confidence int
}

// Codec knows the names of the headers of a deployment.
type Codec interface {
	// Meta reads a caller's headers.
	Meta(h http.Header) Meta
	// Strip removes the headers that a caller may not set towards an engine,
	// its key among them.
	Strip(h http.Header)
	// Apply sets what the daemon adds for an engine.
	Apply(h http.Header, s Sent)
	// Receipt reads an engine's headers.
	Receipt(status int, h http.Header) Receipt
	// Refuse sets the headers of a refusal. A zero time gives no advice.
	Refuse(h http.Header, requestID string, comeBack time.Duration)
}
