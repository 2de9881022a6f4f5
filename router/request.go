package router

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/bronzeturn/bronzeturn/callerapi"
	"github.com/bronzeturn/bronzeturn/config"
	"github.com/bronzeturn/bronzeturn/failure"
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/overload"
	"github.com/bronzeturn/bronzeturn/quarantine"
)

// Limits and conventions for the requests of callers.
const (
	maxIdentifierBytes = 200
	// bytesPerToken is the approximate size of a token of English text. It is used
	// for estimates; bills use the token counts that the engine reports.
	bytesPerToken = 4
	// bearerPrefix precedes the caller's key in the Authorization header.
	bearerPrefix = "Bearer "
	// anyModel lets the router choose among all versions that the organisation may
	// use.
	anyModel = "auto"
)

// call is one validated and authenticated request of a caller.
type call struct {
	tables       *Tables
	organisation *bronzeturnv1.Organisation
	kind         *bronzeturnv1.TaskKind
	requestID    string
	// idempotencyKey and conversation are empty if the caller sent none.
	idempotencyKey string
	conversation   string
	priority       bronzeturnv1.Priority
	received       time.Time
	deadline       time.Time
	// memory is what the request holds of the memory for callers.
	memory *overload.Request
	body   []byte
	// bodyRead is set once the whole body has been read.
	bodyRead bool
	// digest caches the result of bodySHA256. It is nil before the first call.
	digest *[sha256.Size]byte
	// content identifies a chat request across repeats.
	content quarantine.Content
	service *bronzeturnv1.Service
	chat    chatBody
	// tried lists the versions that had no capacity for the request.
	tried []string
}

// bodySHA256 returns the SHA-256 digest of the body, computed on the first call.
func (c *call) bodySHA256() [sha256.Size]byte {
	if c.digest == nil {
		digest := sha256.Sum256(c.body)
		c.digest = &digest
	}
	return *c.digest
}

// idempotent reports whether the request may run more than once.
func (c *call) idempotent() bool {
	if c.service != nil {
		return c.service.GetIdempotent()
	}
	return c.kind.GetIdempotent()
}

// chatBody holds the fields of a chat completion request that the router reads. The
// other fields are passed on unread.
type chatBody struct {
	fields map[string]json.RawMessage
	// size is the length of the received body in bytes.
	size          int
	model         string
	stream        bool
	promptTokens  int64
	maxTokens     int64
	prefixHash    uint64
	wantsUsage    bool
	streamOptions map[string]json.RawMessage
}

// readBody reads the body. It returns a failure if the body exceeds the size limit, finds no memory,
// or is not received before the deadline.
func (r *Router) readBody(c *call) ([]byte, *failure.Error) {
	limit := min(r.MaxBodyBytes, c.memory.MaxBody(chatCopies))
	body, err := c.memory.ReadBody(limit, c.deadline)
	var full *overload.FullError
	switch {
	case errors.Is(err, overload.ErrTooLarge):
		return nil, failure.New(failure.CodeBodyTooLarge, failure.RanNo, "the body is over %d bytes", limit)
	case errors.As(err, &full):
		return nil, r.overloadFailure(full)
	case err != nil && errors.Is(context.Cause(c.memory.Context()), ErrStopping):
		return nil, failure.Wrap(err, failure.CodeCanceled, failure.RanNo, "the body did not come before the daemon stopped")
	case errors.Is(err, overload.ErrStalled):
		return nil, failure.Wrap(err, failure.CodeBodyTimeout, failure.RanNo, "the body made no progress")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, failure.Wrap(err, failure.CodeDeadlinePassed, failure.RanNo, "the deadline passed before the body came")
	case err != nil:
		return nil, failure.Wrap(err, failure.CodeMalformedRequest, failure.RanNo, "the body could not be read")
	}
	c.bodyRead = true
	return body, nil
}

// chatCopies is the memory of a chat request beside its body, as a multiple of it: the decoded fields,
// and the body that is sent to the engine.
const chatCopies = 2

// reserveCopies takes the memory of what is made of the body.
func (r *Router) reserveCopies(c *call) *failure.Error {
	var full *overload.FullError
	if err := c.memory.Reserve(chatCopies * int64(len(c.body))); errors.As(err, &full) {
		return r.overloadFailure(full)
	}
	return nil
}

// overloadFailure returns the refusal of a request that finds no memory, with the addresses to use
// instead.
func (r *Router) overloadFailure(full *overload.FullError) *failure.Error {
	f := failure.Wrap(full, failure.CodeOverloaded, failure.RanNo, "%v", full).WithRetryAfter(overload.RefusalRetryAfter)
	f.Entries, _ = r.otherEntries()
	return f
}

// authenticate returns the organisation that the key in the Authorization header
// belongs to.
func authenticate(s *config.Snapshot, h http.Header) (*bronzeturnv1.Organisation, *failure.Error) {
	value := h.Get("Authorization")
	key, found := strings.CutPrefix(value, bearerPrefix)
	if found {
		if org, ok := s.Authenticate(key); ok {
			return org, nil
		}
	}
	return nil, failure.New(failure.CodeUnauthenticated, failure.RanNo, "the key is missing or not valid")
}

// identifier returns the value of a header after checking its length and characters.
func identifier(h http.Header, name string) (string, *failure.Error) {
	value := h.Get(name)
	if len(value) > maxIdentifierBytes {
		return "", failure.New(failure.CodeMalformedRequest, failure.RanNo, "%s is over %d bytes", name, maxIdentifierBytes)
	}
	for _, c := range value {
		if c < ' ' || c > '~' {
			return "", failure.New(failure.CodeMalformedRequest, failure.RanNo, "%s holds a character that is not printable ASCII", name)
		}
	}
	return value, nil
}

// deadlineOf returns the caller's deadline, bounded by that of the task kind.
func deadlineOf(h http.Header, kind *bronzeturnv1.TaskKind, now time.Time) (time.Time, *failure.Error) {
	longest := kind.GetDeadline().AsDuration()
	value := h.Get(callerapi.HeaderDeadline)
	if value == "" {
		return now.Add(longest), nil
	}
	left, err := time.ParseDuration(value)
	if err != nil {
		// err is not passed on, since it quotes the header, whose content is
		// arbitrary and unbounded.
		return time.Time{}, failure.New(failure.CodeMalformedRequest, failure.RanNo, "%s is not a duration", callerapi.HeaderDeadline)
	}
	if left <= 0 {
		return time.Time{}, failure.New(failure.CodeDeadlinePassed, failure.RanNo, "the deadline has passed")
	}
	return now.Add(min(left, longest)), nil
}

// priorities maps the values of the priority header to those of the schema.
var priorities = map[string]bronzeturnv1.Priority{
	"bulk":   bronzeturnv1.Priority_PRIORITY_BULK,
	"normal": bronzeturnv1.Priority_PRIORITY_NORMAL,
	"urgent": bronzeturnv1.Priority_PRIORITY_URGENT,
}

// priorityOf returns the priority of the task kind, or a lower one that the caller
// asked for.
func priorityOf(h http.Header, kind *bronzeturnv1.TaskKind) (bronzeturnv1.Priority, *failure.Error) {
	granted := kind.GetPriority()
	if granted == bronzeturnv1.Priority_PRIORITY_UNSPECIFIED {
		granted = bronzeturnv1.Priority_PRIORITY_NORMAL
	}
	value := h.Get(callerapi.HeaderPriority)
	if value == "" {
		return granted, nil
	}
	wanted, ok := priorities[value]
	if !ok {
		return granted, failure.New(failure.CodeMalformedRequest, failure.RanNo, "%s must be bulk, normal or urgent", callerapi.HeaderPriority)
	}
	return min(wanted, granted), nil
}

// parseChat reads the fields that the router needs from a chat completion body.
func parseChat(data []byte) (chatBody, *failure.Error) {
	b := chatBody{size: len(data)}
	if tooManyFields(data) {
		return b, failure.New(failure.CodeMalformedRequest, failure.RanNo, "the body has more than %d fields", maxFields)
	}
	if err := json.Unmarshal(data, &b.fields); err != nil {
		return b, malformedJSON(err)
	}
	if b.fields == nil {
		return b, failure.New(failure.CodeMalformedRequest, failure.RanNo, "the body must be a JSON object")
	}
	if len(b.fields["messages"]) == 0 {
		return b, failure.New(failure.CodeMalformedRequest, failure.RanNo, "messages is missing")
	}
	if tooManyFields(b.fields["stream_options"]) {
		return b, failure.New(failure.CodeMalformedRequest, failure.RanNo, "stream_options has more than %d fields", maxFields)
	}
	err := errors.Join(
		optionalField(b.fields, "model", &b.model),
		optionalField(b.fields, "stream", &b.stream),
		optionalField(b.fields, "max_tokens", &b.maxTokens),
		optionalField(b.fields, "stream_options", &b.streamOptions),
		optionalField(b.streamOptions, "include_usage", &b.wantsUsage),
	)
	if err != nil {
		return b, malformedJSON(err)
	}
	if b.maxTokens < 0 {
		return b, failure.New(failure.CodeMalformedRequest, failure.RanNo, "max_tokens must not be negative")
	}
	if b.model == anyModel {
		b.model = ""
	}
	b.promptTokens = int64(len(b.fields["messages"]))/bytesPerToken + 1
	return b, nil
}

// optionalField decodes fields[name] into dst if it is present.
func optionalField(fields map[string]json.RawMessage, name string, dst any) error {
	raw, ok := fields[name]
	if !ok {
		return nil
	}
	if err := json.Unmarshal(raw, dst); err != nil {
		return &fieldError{Field: name, Cause: err}
	}
	return nil
}

// fieldError reports a field of the wrong type.
type fieldError struct {
	Field string
	Cause error
}

// Error implements error.
func (e *fieldError) Error() string { return e.Field + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *fieldError) Unwrap() error { return e.Cause }

// malformedJSON returns the failure for a body that cannot be decoded, with the field
// or the position of the error.
func malformedJSON(err error) *failure.Error {
	var field *fieldError
	if errors.As(err, &field) {
		return failure.Wrap(err, failure.CodeMalformedRequest, failure.RanNo, "field %s has the wrong type", field.Field)
	}
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return failure.Wrap(err, failure.CodeMalformedRequest, failure.RanNo, "the body is not JSON at byte %d", syntax.Offset)
	}
	var kind *json.UnmarshalTypeError
	if errors.As(err, &kind) {
		return failure.Wrap(err, failure.CodeMalformedRequest, failure.RanNo, "the body has the wrong type at byte %d", kind.Offset)
	}
	return failure.Wrap(err, failure.CodeMalformedRequest, failure.RanNo, "the body is not valid JSON")
}

// forwardBody returns the body for the engine. It names the version as the model, sets
// the salt of the prefix cache, and asks for the token counts of a stream, which the
// bill needs.
func (b *chatBody) forwardBody(organisation, version string) ([]byte, error) {
	model, err := json.Marshal(version)
	if err != nil {
		return nil, err
	}
	routerFields := map[string]json.RawMessage{"model": model, "cache_salt": cacheSalt(organisation)}
	if b.stream {
		routerFields["stream_options"] = includeUsage
	}
	body := make([]byte, 0, b.size+routerFieldBytes)
	body = append(body, '{')
	for name, raw := range routerFields {
		if body, err = appendField(body, name, raw); err != nil {
			return nil, err
		}
	}
	for name, raw := range b.fields {
		if _, replaced := routerFields[name]; replaced {
			continue
		}
		if body, err = appendField(body, name, raw); err != nil {
			return nil, err
		}
	}
	body[len(body)-1] = '}'
	return body, nil
}

// includeUsage asks an engine to report the token counts at the end of a stream.
var includeUsage = json.RawMessage(`{"include_usage":true}`)

// routerFieldBytes is the typical total size of the fields that the router sets.
const routerFieldBytes = 160

// appendField appends one field and a comma. The value is appended unchanged, since
// it is known to be valid JSON.
func appendField(body []byte, name string, raw json.RawMessage) ([]byte, error) {
	quoted, err := json.Marshal(name)
	if err != nil {
		return nil, err
	}
	body = append(body, quoted...)
	body = append(body, ':')
	body = append(body, raw...)
	return append(body, ','), nil
}
