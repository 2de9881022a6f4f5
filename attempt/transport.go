package attempt

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
)

// errRequestCut reports an answer that ended with its connection before the whole request had been written.
var errRequestCut = errors.New("the connection ended before the whole request had been written")

// Transport is an http.RoundTripper for HTTP/1 that is stricter about answers than http.Transport:
//   - The body of an answer without a length and chunks ends with io.EOF only if the whole request was written
//     before.
//   - A head whose version, status or field names are invalid by RFC 9110 and RFC 9112 gives a *HeadError.
//
// Requests with a body must have a length. Connections with TLS are not checked.
type Transport struct{ next *http.Transport }

// NewTransport returns a Transport with the settings of a template.
func NewTransport(template *http.Transport) *Transport {
	next := template.Clone()
	dial := next.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	next.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &checkedConn{Conn: conn}, nil
	}
	return &Transport{next: next}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var used *checkedConn
	hooks := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(*checkedConn); ok {
			used = conn
			conn.begin(r.ContentLength)
		}
	}}
	resp, err := t.next.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), hooks)))
	if err != nil {
		return nil, err
	}
	if used != nil && endsWithConnection(r, resp) {
		resp.Body = &unframedBody{ReadCloser: resp.Body, conn: used}
	}
	return resp, nil
}

// CloseIdleConnections closes the connections that no request uses.
func (t *Transport) CloseIdleConnections() { t.next.CloseIdleConnections() }

// endsWithConnection reports whether the end of the connection is the end of the body.
func endsWithConnection(req *http.Request, resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && req.Method != http.MethodHead
}

// unframedBody is a body that ends with its connection.
type unframedBody struct {
	io.ReadCloser
	conn *checkedConn
}

// Read implements io.Reader.
func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && !b.conn.requestWritten() {
		err = errRequestCut
	}
	return n, err
}
