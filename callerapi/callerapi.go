// Package callerapi names the parts of the HTTP interface between callers and
// daemons that go beyond the usual protocol of language model APIs.
package callerapi

// Paths that callers use.
const (
	PathEntries         = "/v1/entries"
	PathChatCompletions = "/v1/chat/completions"
	PathServices        = "/v1/services/"
)

// Request headers. All but Authorization are optional.
const (
	// HeaderIdempotencyKey names a request within its organisation. A repeat
	// with the same key and body gets the first outcome.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderConversation names a conversation within its organisation. All its
	// requests run on the version that the first one got.
	HeaderConversation = "Bronzeturn-Conversation"
	// HeaderKind names the task kind, as defined by the rules.
	HeaderKind = "Bronzeturn-Kind"
	// HeaderDeadline is the time left for the answer as a Go duration, for
	// example "1500ms". The rules bound it.
	HeaderDeadline = "Bronzeturn-Deadline"
	// HeaderPriority is "bulk", "normal" or "urgent". It can lower the priority
	// that the kind gives, never raise it.
	HeaderPriority = "Bronzeturn-Priority"
)

// Response headers.
const (
	// HeaderRequestID is the id of the request in logs and bills.
	HeaderRequestID = "Bronzeturn-Request-Id"
	// HeaderVersion is the version that answered.
	HeaderVersion = "Bronzeturn-Version"
	// HeaderRan is "no", "yes" or "unknown" on failures.
	HeaderRan = "Bronzeturn-Ran"
)

// Entries answers PathEntries: the addresses to use, best first, and how long
// the answer may be kept.
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
	// RetryAfterMillis repeats the Retry-After header with a finer unit.
	RetryAfterMillis int64 `json:"retry_after_ms,omitempty"`
}
