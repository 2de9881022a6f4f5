package router

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/bronzeturn/bronzeturn/callerapi"
	"github.com/bronzeturn/bronzeturn/failure"
)

// writeFailure sends a failure in the JSON format common to all failures. It must be
// called before any part of an answer is written.
func writeFailure(w http.ResponseWriter, f *failure.Error) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(callerapi.HeaderRan, string(f.Ran))
	if f.RetryAfter > 0 {
		h.Set("Retry-After", retryAfterSeconds(f.RetryAfter))
	}
	w.WriteHeader(f.HTTPStatus())
	_, _ = w.Write(encodeFailure(f))
}

// encodeFailure returns the JSON body of f. It omits the cause, which may disclose
// information about another organisation.
func encodeFailure(f *failure.Error) []byte {
	body := callerapi.ErrorBody{Error: callerapi.ErrorDetail{
		Code:             string(f.Code),
		Message:          f.Message,
		Ran:              string(f.Ran),
		Entries:          f.Entries,
		RetryAfterMillis: f.RetryAfter.Milliseconds(),
	}}
	data, err := json.Marshal(body)
	if err != nil {
		return []byte(`{"error":{"code":"internal","message":"internal error","ran":"unknown"}}`)
	}
	return data
}

// retryAfterSeconds formats d for Retry-After, rounded up to whole seconds.
func retryAfterSeconds(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}
