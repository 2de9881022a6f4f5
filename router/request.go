package router

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/bronzeturn/bronzeturn/callerapi"
	"github.com/bronzeturn/bronzeturn/config"
	"github.com/bronzeturn/bronzeturn/failure"
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/quarantine"
)

// Bounds on what callers send.
const (
	maxIdentifierBytes = 200
	// bytesPerToken is the usual rough size of a token of English text. The
	// engine's own count goes into the bill.
	bytesPerToken = 4
	// bearerPrefix precedes the key in the Authorization header.
	bearerPrefix = "Bearer "
	// anyModel lets the router choose among all versions allowed.
	anyModel = "auto"
)

// call is what one request asks for, after checks of form and identity.
type call struct {
	tables       *Tables
	organisation *bronzeturnv1.Organisation
	kind         *bronzeturnv1.TaskKind
	requestID    string
	// idempotencyKey and conversation are empty when the caller sent none.
	idempotencyKey string
	conversation   string
	priority       bronzeturnv1.Priority
	received       time.Time
	deadline       time.Time
	body           []byte
	// digest caches the result of bodySHA256. It is nil before the first call.
	digest *[sha256.Size]byte
	// hash identifies a chat request across repeats.
	hash    quarantine.Hash
	service *bronzeturnv1.Service
	chat    chatBody
	// tried are the versions that had no room for the request.
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

// idempotent tells whether the request may run more than once.
func (c *call) idempotent() bool {
	if c.service != nil {
		return c.service.GetIdempotent()
	}
	return c.kind.GetIdempotent()
}

// chatBody is the part of a chat completion request that the router reads. The
// other fields pass through unread.
type chatBody struct {
	fields map[string]json.RawMessage
	// size is the length of the body received.
	size          int
	model         string
	stream        bool
	promptTokens  int64
	maxTokens     int64
	prefixHash    uint64
	wantsUsage    bool
	streamOptions map[string]json.RawMessage
}

// readBody reads a body that is within the limit and comes before the deadline.
func (r *Router) readBody(req *http.Request, a *answer, c *call) ([]byte, *failure.Error) {
	tooLarge := failure.New(failure.CodeBodyTooLarge, failure.RanNo, "the body is over %d bytes", r.MaxBodyBytes)
	if req.ContentLength > r.MaxBodyBytes {
		return nil, tooLarge
	}
	a.setReadDeadline(c.deadline)
	var body bytes.Buffer
	body.Grow(int(max(req.ContentLength, 0)) + bytes.MinRead)
	_, err := body.ReadFrom(io.LimitReader(req.Body, r.MaxBodyBytes+1))
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, failure.Wrap(err, failure.CodeDeadlinePassed, failure.RanNo, "the deadline passed before the body came")
	case err != nil:
		return nil, failure.Wrap(err, failure.CodeMalformedRequest, failure.RanNo, "the body could not be read")
	case int64(body.Len()) > r.MaxBodyBytes:
		return nil, tooLarge
	}
	a.setReadDeadline(time.Time{})
	return body.Bytes(), nil
}

// authenticate returns the organisation that the Authorization header names.
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

// identifier returns a header value after a check of its form.
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

// deadlineOf returns the caller's deadline, bounded by the rule of the kind.
func deadlineOf(h http.Header, kind *bronzeturnv1.TaskKind, now time.Time) (time.Time, *failure.Error) {
	longest := kind.GetDeadline().AsDuration()
	value := h.Get(callerapi.HeaderDeadline)
	if value == "" {
		return now.Add(longest), nil
	}
	left, err := time.ParseDuration(value)
	if err != nil {
		// The error quotes the header, which is the caller's and unbounded.
		return time.Time{}, failure.New(failure.CodeMalformedRequest, failure.RanNo, "%s is not a duration", callerapi.HeaderDeadline)
	}
	if left <= 0 {
		return time.Time{}, failure.New(failure.CodeDeadlinePassed, failure.RanNo, "the deadline has passed")
	}
	return now.Add(min(left, longest)), nil
}

// priorities maps the header's values to the schema's.
var priorities = map[string]bronzeturnv1.Priority{
	"bulk":   bronzeturnv1.Priority_PRIORITY_BULK,
	"normal": bronzeturnv1.Priority_PRIORITY_NORMAL,
	"urgent": bronzeturnv1.Priority_PRIORITY_URGENT,
}

// priorityOf returns the kind's priority, or a lower one asked for.
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
	if err := json.Unmarshal(data, &b.fields); err != nil {
		return b, malformedJSON(err)
	}
	if b.fields == nil {
		return b, failure.New(failure.CodeMalformedRequest, failure.RanNo, "the body must be a JSON object")
	}
	if len(b.fields["messages"]) == 0 {
		return b, failure.New(failure.CodeMalformedRequest, failure.RanNo, "messages is missing")
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

// optionalField decodes fields[name] into dst when it is present.
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

// malformedJSON gives the position of a JSON fault.
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

// forwardBody returns the body for the engine: the version as model, and the
// token counts asked for, since the bill needs them.
func (b *chatBody) forwardBody(organisation, version string) ([]byte, error) {
	model, err := json.Marshal(version)
	if err != nil {
		return nil, err
	}
	own := map[string]json.RawMessage{"model": model, "cache_salt": cacheSalt(organisation)}
	if b.stream {
		own["stream_options"] = includeUsage
	}
	body := make([]byte, 0, b.size+ownFieldBytes)
	body = append(body, '{')
	for name, raw := range own {
		if body, err = appendField(body, name, raw); err != nil {
			return nil, err
		}
	}
	for name, raw := range b.fields {
		if _, replaced := own[name]; replaced {
			continue
		}
		if body, err = appendField(body, name, raw); err != nil {
			return nil, err
		}
	}
	body[len(body)-1] = '}'
	return body, nil
}

// includeUsage asks an engine for the token counts at the end of a stream.
var includeUsage = json.RawMessage(`{"include_usage":true}`)

// ownFieldBytes is the usual size of the fields that the router sets.
const ownFieldBytes = 160

// appendField appends one field and a comma. The value was decoded as JSON
// before, so it passes as it is.
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
