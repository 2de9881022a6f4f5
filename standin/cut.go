package standin

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// End is how a server ends a connection.
type End string

// The ends. EndLater closes the connection after endPause.
const (
	EndAtOnce End = "closed at once"
	EndLater  End = "closed after a pause"
	EndReset  End = "reset"
)

// endPause is long enough for the client to read what was sent before.
const endPause = 3 * time.Millisecond

// RawAnswer is an answer byte by byte, and the end of its connection.
type RawAnswer struct {
	Bytes string
	End   End
}

// CutHeads returns an answer cut after each byte of its head, with each kind of end.
func CutHeads(answer string) (cuts []RawAnswer) {
	size, ok := headSize(answer)
	for at := 0; ok && at < size; at++ {
		for _, end := range []End{EndAtOnce, EndLater, EndReset} {
			cuts = append(cuts, RawAnswer{Bytes: answer[:at], End: end})
		}
	}
	return cuts
}

// headSize returns the number of bytes up to the body, past an interim answer.
func headSize(answer string) (size int, ok bool) {
	if strings.HasPrefix(answer, "HTTP/1.1 103") {
		size = strings.Index(answer, "\r\n\r\n") + len("\r\n\r\n")
	}
	for _, blank := range []string{"\r\n\r\n", "\n\n"} {
		if at := strings.Index(answer[size:], blank); at >= 0 {
			return size + at + len(blank), true
		}
	}
	return 0, false
}

// Framings returns a successful answer in each form in which the end of its body can be told. header
// holds further lines of the head.
func Framings(header, body string) map[string]string {
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	chunks := "0\r\n"
	if body != "" {
		chunks = fmt.Sprintf("%x\r\n%s\r\n", len(body), body) + chunks
	}
	return map[string]string{
		"length":        "HTTP/1.1 200 OK\r\n" + header + length + "\r\n" + body,
		"length first":  "HTTP/1.1 200 OK\r\n" + length + header + "\r\n" + body,
		"chunks":        "HTTP/1.1 200 OK\r\n" + header + "Transfer-Encoding: chunked\r\n\r\n" + chunks + "\r\n",
		"trailers":      "HTTP/1.1 200 OK\r\n" + header + "Trailer: Sum\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks + "Sum: 1\r\n\r\n",
		"interim":       "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\n" + header + length + "\r\n" + body,
		"line feeds":    strings.ReplaceAll("HTTP/1.1 200 OK\r\n"+header+length+"\r\n", "\r\n", "\n") + body,
		"HTTP/1.0":      "HTTP/1.0 200 OK\r\n" + header + length + "\r\n" + body,
		"folded header": "HTTP/1.1 200 OK\r\n" + header + "Folded: a\r\n b\r\n" + length + "\r\n" + body,
	}
}

// WithoutFraming returns a successful answer that has neither a length nor chunks.
func WithoutFraming(header, body string) string {
	return "HTTP/1.1 200 OK\r\n" + header + "\r\n" + body
}

// RawServer answers each request with a RawAnswer.
type RawServer struct{ answer atomic.Pointer[RawAnswer] }

// Set replaces the answer.
func (s *RawServer) Set(a RawAnswer) { s.answer.Store(&a) }

// ServeHTTP implements http.Handler.
func (s *RawServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // The client may have disconnected.
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	a := s.answer.Load()
	_, _ = io.WriteString(conn, a.Bytes) // The client may have disconnected.
	switch a.End {
	case EndLater:
		time.Sleep(endPause)
	case EndReset:
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
}
