package gateway

import (
	"net/http"
	"strings"
)

// hopByHopHeaders are headers that concern a single connection and must not be forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// withoutHopByHop returns a copy of the headers without the hop-by-hop ones.
func withoutHopByHop(h http.Header) http.Header {
	next := h.Clone()
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			if name = strings.TrimSpace(name); name != "" {
				next.Del(name)
			}
		}
	}
	for _, name := range hopByHopHeaders {
		next.Del(name)
	}
	return next
}

// copyAnswerHeaders copies the headers of an engine's answer to the caller's.
func copyAnswerHeaders(to, from http.Header) {
	for name, values := range withoutHopByHop(from) {
		to[name] = values
	}
	if _, ok := to["Content-Type"]; !ok {
		to["Content-Type"] = nil // Keeps net/http from sniffing the type.
	}
}

// headerBytes returns the approximate size of the request headers on the wire.
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
