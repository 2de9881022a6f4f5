package bronzeturn

import (
	"errors"
	"net"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/jsoncall"
	"github.com/bronzeturn/bronzeturn/objectstore"
	"github.com/bronzeturn/bronzeturn/objectstore/httpstore"
	"github.com/bronzeturn/bronzeturn/standin"
)

// TestInvalidHeadsOfOutsideSystemsAreNone checks that the daemon's client of the store, the host list, the
// ratings and the weight store takes no answer whose head is none, also if its body can be read.
func TestInvalidHeadsOfOutsideSystemsAreNone(t *testing.T) {
	server := &standin.RawServer{}
	listening := httptest.NewServer(server)
	defer listening.Close()
	client := newOutsideClient((&net.Dialer{}).DialContext, 0)
	list, store := jsoncall.New(listening.URL, client), httpstore.New(listening.URL, client)
	for name, answer := range standin.InvalidHeads("ETag: \"1\"\r\n", "[]") {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			server.Set(standin.RawAnswer{Bytes: answer, End: standin.EndAtOnce})
			var into []int
			err := list.Get(c.Context(), "/x", &into)
			var failed *jsoncall.Error
			c.Check(errors.As(err, &failed), qt.IsTrue, qt.Commentf("%v", err))
			_, err = store.Get(c.Context(), "a")
			var unavailable *objectstore.UnavailableError
			c.Check(errors.As(err, &unavailable), qt.IsTrue, qt.Commentf("%v", err))
		})
	}
}
