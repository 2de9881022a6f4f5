package overload

import (
	"io"
	"net/http"
)

const (
	// outsideShare is the share of the memory of the process that answers of outside systems may take
	// while they are read and decoded.
	outsideShare = 0.2
	// outsideCopies is the memory for an answer as a multiple of its size: the growing buffer, and what
	// is decoded from it.
	outsideCopies = 3
)

// boundTransport accounts for the bodies of answers until they are closed.
type boundTransport struct {
	next    http.RoundTripper
	account *Account
}

// BoundAnswers returns a transport for calls to outside systems whose answers are read whole, such as the
// store: together they take a share of the memory of the process. Reading beyond it fails with a
// *FullError. A memory of 0 bytes is not known, and not bounded.
func BoundAnswers(next http.RoundTripper, memoryBytes int64) http.RoundTripper {
	return &boundTransport{next: next, account: NewAccount(int64(outsideShare * float64(memoryBytes)))}
}

// RoundTrip implements http.RoundTripper.
func (t *boundTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.next.RoundTrip(r)
	if err == nil {
		resp.Body = &boundBody{ReadCloser: resp.Body, holder: t.account.Open(nil)}
	}
	return resp, err
}

// CloseIdleConnections implements the interface that http.Client looks for.
func (t *boundTransport) CloseIdleConnections() {
	if c, ok := t.next.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

// boundBody is the body of an answer in an account.
type boundBody struct {
	io.ReadCloser
	holder *Holder
}

// Read implements io.Reader.
func (b *boundBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p[:min(len(p), smallBytes)]) // What is read beyond the bound is small.
	if full := b.holder.Reserve(outsideCopies * int64(n)); full != nil {
		return n, full
	}
	return n, err
}

// Close implements io.Closer.
func (b *boundBody) Close() error {
	b.holder.Close()
	return b.ReadCloser.Close()
}
