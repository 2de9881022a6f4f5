package gateway

import (
	"net/http"
	"strings"
)

// hopHeaders concern one connection only and are never passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// passedOn returns a copy of the headers without those of one connection.
func passedOn(h http.Header) http.Header {
	next := h.Clone()
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			if name = strings.TrimSpace(name); name != "" {
				next.Del(name)
			}
		}
	}
	for _, name := range hopHeaders {
		next.Del(name)
	}
	return next
}

// copyAnswer sets an engine's headers on the answer to the caller.
func copyAnswer(to, from http.Header) {
	for name, values := range passedOn(from) {
		to[name] = values
	}
	if _, ok := to["Content-Type"]; !ok {
		to["Content-Type"] = nil // Keeps net/http from guessing one.
	}
}

// headerBytes is the size of the headers as they came, nearly.
func headerBytes(r *http.Request) int {
	const separators = 4 // colon, space and line end
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + separators
		}
	}
	return n
}
