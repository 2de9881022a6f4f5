package jsoncall_test

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
)

func TestErrorsAreTyped(t *testing.T) {
	tests := []struct {
		name    string
		status  int
		header  http.Header
		body    string
		ok      bool
		limited bool
		absent  bool
	}{
		{name: "whole answer", status: 200, body: `{"a":1}`, ok: true},
		{name: "no JSON", status: 200, body: `{"a":`},
		{name: "other type", status: 200, body: `{"a":"x"}`},
		{name: "cut short", status: 200, header: http.Header{"Content-Length": {"20"}}, body: `{"a":1}`},
		{name: "rate limit", status: 429, header: http.Header{"Retry-After": {"7"}}, limited: true},
		{name: "not found", status: 404, absent: true},
		{name: "failure", status: 500, body: `{"a":1}`},
		{name: "too long", status: 200, body: `{"a":1}` + string(make([]byte, 16<<20))},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				for name, values := range test.header {
					w.Header()[name] = values
				}
				w.WriteHeader(test.status)
				_, _ = io.WriteString(w, test.body)
			}))
			defer server.Close()
			var into struct{ A int }
			err := jsoncall.New(server.URL+"/", server.Client()).Get(context.Background(), "/x", &into)
			if test.ok {
				c.Assert(err, qt.IsNil)
				c.Assert(into.A, qt.Equals, 1)
				return
			}
			var failed *jsoncall.Error
			c.Assert(errors.As(err, &failed), qt.IsTrue)
			c.Assert(failed.Status, qt.Equals, test.status)
			wait, limited := jsoncall.RateLimitDelay(err)
			c.Assert(limited, qt.Equals, test.limited)
			if limited {
				c.Assert(wait, qt.Equals, 7*time.Second)
			}
			c.Assert(jsoncall.IsNotFound(err), qt.Equals, test.absent)
		})
	}
}
