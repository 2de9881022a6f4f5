package router

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/callerapi"
)

// TestBodyDeadlineOverSockets checks over a real connection that a body that never
// arrives ends in a failure, and that the read deadline for the body of one request does
// not affect the next one on the same connection.
func TestBodyDeadlineOverSockets(t *testing.T) {
	c := qt.New(t)
	s := newFixture(t)
	server := httptest.NewServer(s.handler)
	defer server.Close()
	conn, err := net.Dial("tcp", strings.TrimPrefix(server.URL, "http://"))
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	reader := bufio.NewReader(conn)
	send := func(deadline, body string, length int) *http.Response {
		_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
			callerapi.PathChatCompletions, depotKey, callerapi.HeaderDeadline, deadline, length, body)
		c.Assert(err, qt.IsNil)
		response, err := http.ReadResponse(reader, nil)
		c.Assert(err, qt.IsNil)
		return response
	}
	body := callerRequest{}.text()
	for range 2 {
		response := send("20s", body, len(body))
		c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
		c.Assert(response.Write(&strings.Builder{}), qt.IsNil)
	}
	response := send("100ms", "", len(body))
	c.Assert(response.StatusCode, qt.Equals, http.StatusGatewayTimeout)
	c.Assert(response.Header.Get(callerapi.HeaderRan), qt.Equals, "no")
}
