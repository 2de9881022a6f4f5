package router

import (
	"bytes"
	"io"
	"net/http"
	"os"
	"time"
)

// slowWriter is the connection of a caller that sends no body and reads only limit bytes.
// Further writes block until the write deadline. A limit of zero means no limit.
type slowWriter struct {
	header        http.Header
	text          bytes.Buffer
	status        int
	limit         int
	writeDeadline time.Time
	readDeadline  time.Time
}

// Header implements http.ResponseWriter.
func (w *slowWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *slowWriter) WriteHeader(status int) { w.status = status }

// Write implements http.ResponseWriter.
func (w *slowWriter) Write(p []byte) (int, error) {
	if w.limit == 0 || w.text.Len()+len(p) <= w.limit {
		return w.text.Write(p)
	}
	if w.writeDeadline.IsZero() {
		select {} // Without a deadline, the write blocks forever.
	}
	time.Sleep(time.Until(w.writeDeadline))
	return 0, os.ErrDeadlineExceeded
}

// FlushError implements flushing for http.ResponseController.
func (w *slowWriter) FlushError() error { return nil }

// SetWriteDeadline implements write deadlines for http.ResponseController.
func (w *slowWriter) SetWriteDeadline(t time.Time) error {
	w.writeDeadline = t
	return nil
}

// SetReadDeadline implements read deadlines for http.ResponseController.
func (w *slowWriter) SetReadDeadline(t time.Time) error {
	w.readDeadline = t
	return nil
}

// Read implements io.Reader for the request body. It fails as if the read deadline had
// passed.
func (w *slowWriter) Read([]byte) (int, error) {
	if w.readDeadline.IsZero() {
		return 0, io.ErrNoProgress
	}
	return 0, os.ErrDeadlineExceeded
}

// Close implements io.Closer.
func (w *slowWriter) Close() error { return nil }
