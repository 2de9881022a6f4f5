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

// writeFailure answers with the one JSON shape of failures. It must be called
// before any byte of an answer was written.
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

// encodeFailure returns the JSON body of f. Causes are not part of it, since
// they may tell one organisation about another.
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

// retryAfterSeconds rounds up to whole seconds, the unit of Retry-After.
func retryAfterSeconds(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}
