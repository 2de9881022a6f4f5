// Package peer connects daemons with each other: one shared HTTP/2 client, the
// listener's server, and the count of bytes between them. Both use mutual TLS
// when given certificates, and plain text HTTP/2 otherwise.
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
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 1500 * time.Millisecond
	// pingAfter is how long a connection may receive nothing before it is pinged.
	pingAfter = 2 * time.Second
	// pingTimeout is how long an answer to a ping may take before the
	// connection counts as silent and is closed.
	pingTimeout = 1 * time.Second
	// idleTimeout closes connections that carry no call.
	idleTimeout = 60 * time.Second
	// unaryTimeout bounds a unary call whose context has no deadline. It is longer
	// than pingAfter and pingTimeout together, so that the connection of a call
	// that failed for silence is not used for the next one.
	unaryTimeout = 5 * time.Second
	// MaxMessageBytes bounds one message between daemons.
	MaxMessageBytes = 2 << 20
	// bufferBytes is the read and write buffer of one connection.
	bufferBytes = 4 << 10
)

// Resolver knows the peer addresses of daemons.
type Resolver interface {
	// PeerAddress returns the address, IP and port, of the named daemon's peer
	// listener.
	PeerAddress(name string) (address string, ok bool)
}

// ResolverFunc is a Resolver in one function.
type ResolverFunc func(name string) (address string, ok bool)

// PeerAddress implements Resolver.
func (f ResolverFunc) PeerAddress(name string) (address string, ok bool) { return f(name) }

// Directory opens calls to other daemons over one shared client. It is safe
// for concurrent use.
type Directory struct {
	resolver  Resolver
	scheme    string
	transport *http.Transport
	client    connect.HTTPClient
}

// NewDirectory returns a directory. Nil credentials mean plain text HTTP/2;
// otherwise each new connection presents the certificate that the files hold
// then. The resolver may be nil when only At is used.
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

// Dial returns the client and the base URL for calls to the named daemon. It
// reports false when the daemon's address is not known.
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

// Close drops the idle connections.
func (d *Directory) Close() {
	d.transport.CloseIdleConnections()
}

// ClientOptions returns the options that connect clients between daemons use:
// no compression, bounded messages.
func ClientOptions() []connect.ClientOption {
	return []connect.ClientOption{
		connect.WithAcceptCompression("gzip", nil, nil),
		connect.WithReadMaxBytes(MaxMessageBytes),
	}
}

// HandlerOptions returns the options that connect handlers between daemons use.
func HandlerOptions() []connect.HandlerOption {
	return []connect.HandlerOption{
		connect.WithCompression("gzip", nil, nil),
		connect.WithReadMaxBytes(MaxMessageBytes),
	}
}

func http2Config() *http.HTTP2Config {
	return &http.HTTP2Config{
		SendPingTimeout: pingAfter,
		PingTimeout:     pingTimeout,
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

// boundTLSDial bounds the opening of an authenticated connection and gives its
// failures the type of those of a plain one, since nothing was sent either.
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

// boundedClient gives every unary call a deadline. Streams live until they are
// ended or their connection is found silent.
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

// cancelBody releases the deadline of a call when its body is closed.
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
