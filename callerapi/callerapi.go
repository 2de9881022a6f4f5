// Package callerapi defines paths, headers and bodies of the HTTP API of daemons for
// callers, apart from the chat completions protocol of language model APIs.
package callerapi

// Paths of the API.
const (
	PathEntries         = "/v1/entries"
	PathChatCompletions = "/v1/chat/completions"
	PathServices        = "/v1/services/"
)

// Request headers. All but Authorization are optional.
const (
	// HeaderIdempotencyKey identifies a request within its organisation. A repeated
	// request with the same key and body gets the outcome of the first one.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderConversation identifies a conversation within its organisation. All its
	// requests run on the version that the first one ran on.
	HeaderConversation = "Bronzeturn-Conversation"
	// HeaderKind names the task kind, as defined by the rules.
	HeaderKind = "Bronzeturn-Kind"
	// HeaderDeadline is the time left for the answer as a Go duration, for
	// example "1500ms". The rules limit it.
	HeaderDeadline = "Bronzeturn-Deadline"
	// HeaderPriority is "bulk", "normal" or "urgent". It can lower the priority
	// that the kind gives, never raise it.
	HeaderPriority = "Bronzeturn-Priority"
)

// Response headers.
const (
	// HeaderRequestID is the ID of the request in logs and bills.
	HeaderRequestID = "Bronzeturn-Request-Id"
	// HeaderVersion is the version that answered.
	HeaderVersion = "Bronzeturn-Version"
	// HeaderRan tells on a failure whether the request ran: "no", "yes" or "unknown".
	HeaderRan = "Bronzeturn-Ran"
)

// Entries is the JSON shape of the answer to PathEntries: the addresses to use, best
// first, and for how long the answer may be cached.
type Entries struct {
	Addresses   []string `json:"addresses"`
	KeepSeconds int      `json:"keep_seconds"`
}

// ErrorBody is the JSON shape of every failure.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes one failure. Codes are those of package failure.
type ErrorDetail struct {
	Code    string   `json:"code"`
	Message string   `json:"message"`
	Ran     string   `json:"ran"`
	Entries []string `json:"entries,omitempty"`
	// RetryAfterMillis is the value of the Retry-After header in milliseconds.
	RetryAfterMillis int64 `json:"retry_after_ms,omitempty"`
}
