package harness

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// Host is the host name of all routes.
const Host = "ficu95.example"

// Answer is what a client got.
type Answer struct {
	Status  int
	Header  http.Header
	Body    []byte
	Aborted error
}

// Send sends a request over a new channel and reads its whole answer. The client leaves after its
// deadline.
func Send(record *Record, front, method, path, id string, deadline time.Duration, header map[string]string, body string) Answer {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+front+path, strings.NewReader(body))
	if err != nil {
		return Answer{Aborted: err}
	}
	req.Host = Host
	req.Header.Set("Request-Id", id)
	req.Header.Set(Name("deadline"), fmt.Sprint(deadline.Milliseconds()))
	for name, value := range header {
		req.Header.Set(name, value)
	}
	record.Printf("client sends %s %s %s to %s %v", id, method, path, front, header)
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer transport.CloseIdleConnections()
	resp, err := transport.RoundTrip(req)
	if err != nil {
		record.Printf("client gets no answer to %s: %v", id, err)
		return Answer{Aborted: err}
	}
	defer func() { _ = resp.Body.Close() }()
	a := Answer{Status: resp.StatusCode, Header: resp.Header}
	a.Body, a.Aborted = io.ReadAll(resp.Body)
	if errors.Is(a.Aborted, io.EOF) {
		a.Aborted = nil
	}
	record.Printf("client gets %d to %s, stamp %q, %d bytes, broken off: %v", a.Status, id, a.Header.Get(Name("stamp")), len(a.Body), a.Aborted)
	return a
}
