// Package peer connects daemons with each other. It provides a shared HTTP/2 client, the server
// for the peer listener, and a count of the bytes transferred. Client and server use mutual TLS
// if they are given certificates, and plaintext HTTP/2 otherwise.
package peer

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"connectrpc.com/connect"

	"github.com/bronzeturn/bronzeturn/security"
)

const (
	// dialTimeout limits the time to open a connection, including the TLS handshake.
	dialTimeout = 1500 * time.Millisecond
	// pingAfter is the time without received data after which a connection is pinged.
	pingAfter = 2 * time.Second
	// pingTimeout is the time to wait for the response to a ping before the connection is
	// closed.
	pingTimeout = 1 * time.Second
	// idleTimeout is the time after which a connection without calls is closed.
	idleTimeout = 60 * time.Second
	// unaryTimeout limits a unary call whose context has no deadline. It is longer than
	// pingAfter and pingTimeout together, so that a connection on which a call got no response
	// is closed by the ping before the next call could use it.
	unaryTimeout = 5 * time.Second
	// MaxMessageBytes is the maximum size of a message between daemons.
	MaxMessageBytes = 2 << 20
	// bufferBytes is the size of the read and the write buffer of a connection.
	bufferBytes = 4 << 10
)

// Resolver looks up the peer addresses of daemons.
type Resolver interface {
	// PeerAddress returns the IP address and port of the named daemon's peer listener.
	PeerAddress(name string) (address string, ok bool)
}

// ResolverFunc is a function that implements Resolver.
type ResolverFunc func(name string) (address string, ok bool)

// PeerAddress implements Resolver.
func (f ResolverFunc) PeerAddress(name string) (address string, ok bool) { return f(name) }

// Directory provides clients for calls to other daemons, which share one HTTP transport. It is
// safe for concurrent use.
type Directory struct {
	resolver  Resolver
	scheme    string
	transport *http.Transport
	client    connect.HTTPClient
}

// NewDirectory returns a directory. If credentials is nil, connections use plaintext HTTP/2.
// Otherwise each new connection presents the certificate that the credential files contain at
// that time. The resolver may be nil if only ClientAt is used.
func NewDirectory(resolver Resolver, credentials *security.Credentials, traffic *Traffic) *Directory {
	d := &Directory{resolver: resolver, scheme: "http", transport: security.NewTransport(credentials, dialer(traffic))}
	d.transport.DisableCompression = true
	d.transport.IdleConnTimeout = idleTimeout
	d.transport.ReadBufferSize = bufferBytes
	d.transport.WriteBufferSize = bufferBytes
	d.transport.HTTP2 = http2Config()
	if credentials != nil {
		d.scheme = "https"
		d.transport.DialTLSContext = boundTLSDial(d.transport.DialTLSContext)
	}
	d.client = &boundedClient{client: &http.Client{Transport: d.transport}}
	return d
}

// Dial returns the client and the base URL for calls to the named daemon. It returns false if
// the address of the daemon is not known. It does not open a connection.
func (d *Directory) Dial(name string) (connect.HTTPClient, string, bool) {
	if d.resolver == nil {
		return nil, "", false
	}
	address, ok := d.resolver.PeerAddress(name)
	if !ok {
		return nil, "", false
	}
	client, base := d.ClientAt(address)
	return client, base, true
}

// ClientAt returns the client and the base URL for calls to a peer address.
func (d *Directory) ClientAt(address string) (connect.HTTPClient, string) {
	return d.client, d.scheme + "://" + address
}

// Close closes the idle connections.
func (d *Directory) Close() {
	d.transport.CloseIdleConnections()
}

// ClientOptions returns the options of Connect clients for calls between daemons: no
// compression, and a limit on the message size.
func ClientOptions() []connect.ClientOption {
	return []connect.ClientOption{
		connect.WithAcceptCompression("gzip", nil, nil),
		connect.WithReadMaxBytes(MaxMessageBytes),
	}
}

// HandlerOptions returns the corresponding options of Connect handlers.
func HandlerOptions() []connect.HandlerOption {
	return []connect.HandlerOption{
		connect.WithCompression("gzip", nil, nil),
		connect.WithReadMaxBytes(MaxMessageBytes),
	}
}

// answerBufferBytes bounds what the HTTP/2 client keeps of one answer that its reader has not taken. The
// connection has no such bound: one answer that is not read must not hold up the others.
const answerBufferBytes = 128 << 10

func http2Config() *http.HTTP2Config {
	return &http.HTTP2Config{
		SendPingTimeout:           pingAfter,
		PingTimeout:               pingTimeout,
		MaxReceiveBufferPerStream: answerBufferBytes,
	}
}

func dialer(traffic *Traffic) func(context.Context, string, string) (net.Conn, error) {
	d := &net.Dialer{Timeout: dialTimeout}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, &DialError{Address: address, Cause: err}
		}
		return traffic.conn(c), nil
	}
}

// boundTLSDial limits the duration of a TLS dial and wraps its failures in a DialError like
// those of a plaintext dial, since no request was sent in either case.
func boundTLSDial(dial security.DialFunc) security.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		c, err := dial(ctx, network, address)
		if err == nil || IsDialError(err) {
			return c, err
		}
		return nil, &DialError{Address: address, Cause: err}
	}
}

// boundedClient sets a deadline on unary calls that have none. Streams have no deadline; they
// last until they are closed or a ping on their connection times out.
type boundedClient struct {
	client *http.Client
}

// Do implements connect.HTTPClient.
func (b *boundedClient) Do(request *http.Request) (*http.Response, error) {
	ctx := request.Context()
	if _, bounded := ctx.Deadline(); bounded || isStream(request) {
		return b.client.Do(request)
	}
	ctx, cancel := context.WithTimeout(ctx, unaryTimeout)
	response, err := b.client.Do(request.WithContext(ctx))
	if err != nil {
		cancel()
		return nil, err
	}
	response.Body = &cancelBody{ReadCloser: response.Body, cancel: cancel}
	return response, nil
}

func isStream(request *http.Request) bool {
	return strings.HasPrefix(request.Header.Get("Content-Type"), "application/connect+")
}

// cancelBody cancels the context of a call when the response body is closed.
type cancelBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (c *cancelBody) Close() error {
	err := c.ReadCloser.Close()
	c.cancel()
	return err
}
