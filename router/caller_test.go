package router

import (
	"bytes"
	"io"
	"net/http"
	"os"
	"time"
)

// slowWriter is the connection of a caller that neither reads nor sends: reads
// and, after limit bytes, writes block until their deadlines.
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
		select {} // Nothing would ever end this write.
	}
	time.Sleep(time.Until(w.writeDeadline))
	return 0, os.ErrDeadlineExceeded
}

// FlushError implements the flushing of http.ResponseController.
func (w *slowWriter) FlushError() error { return nil }

// SetWriteDeadline implements the deadlines of http.ResponseController.
func (w *slowWriter) SetWriteDeadline(t time.Time) error {
	w.writeDeadline = t
	return nil
}

// SetReadDeadline implements the deadlines of http.ResponseController.
func (w *slowWriter) SetReadDeadline(t time.Time) error {
	w.readDeadline = t
	return nil
}

// Read implements io.Reader for the request's body.
func (w *slowWriter) Read([]byte) (int, error) {
	if w.readDeadline.IsZero() {
		return 0, io.ErrNoProgress
	}
	return 0, os.ErrDeadlineExceeded
}

// Close implements io.Closer.
func (w *slowWriter) Close() error { return nil }
