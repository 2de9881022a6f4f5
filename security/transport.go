package security

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"
)

// Time-outs of client connections.
const (
	handshakeTimeout = 5 * time.Second
	idleTimeout      = 90 * time.Second
	// pingInterval is the time without received data after which a connection is
	// probed with a ping.
	pingInterval = 10 * time.Second
	// pingTimeout is the time without an answer after which it is closed.
	pingTimeout = 5 * time.Second
)

// Server returns the TLS configuration of a listener. If there are authorities, every
// client must present a certificate that they signed. Session resumption is disabled,
// so that replaced files apply to every new connection.
func (c *Credentials) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocolHTTP2, protocolHTTP1},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return c.serverConfig(), nil
		},
		SessionTicketsDisabled: true,
	}
}

// serverConfig returns the configuration of one handshake.
func (c *Credentials) serverConfig() *tls.Config {
	m := c.latest()
	config := &tls.Config{
		MinVersion:             tls.VersionTLS13,
		NextProtos:             []string{protocolHTTP2, protocolHTTP1},
		Certificates:           m.certificates,
		SessionTicketsDisabled: true,
	}
	if m.authorities != nil {
		config.ClientCAs = m.authorities
		config.ClientAuth = tls.RequireAndVerifyClientCert
	}
	return config
}

// Client returns the TLS configuration of one new connection to the named server. It
// must not be reused for later connections, since the files may change.
func (c *Credentials) Client(serverName string) *tls.Config {
	m := c.latest()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{protocolHTTP2, protocolHTTP1},
		ServerName:   serverName,
		Certificates: m.certificates,
		RootCAs:      m.authorities,
	}
}

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewTransport returns an HTTP/2 transport that connects with dial and authenticates
// with c. If c is nil, it uses plain text. Connections without traffic are probed, and
// closed if the probe is not answered.
func NewTransport(c *Credentials, dial DialFunc) *http.Transport {
	protocols := new(http.Protocols)
	t := &http.Transport{
		Proxy:           nil,
		DialContext:     dial,
		IdleConnTimeout: idleTimeout,
		Protocols:       protocols,
		HTTP2:           &http.HTTP2Config{SendPingTimeout: pingInterval, PingTimeout: pingTimeout},
	}
	if c == nil {
		protocols.SetUnencryptedHTTP2(true)
		return t
	}
	protocols.SetHTTP2(true)
	t.DialTLSContext = c.dialTLS(dial)
	return t
}

// dialTLS returns a function that opens a connection with dial and performs the TLS
// handshake.
func (c *Credentials) dialTLS(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		name, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, err
		}
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
		defer cancel()
		client := tls.Client(conn, c.Client(name))
		if err := client.HandshakeContext(ctx); err != nil {
			_ = conn.Close()
			return nil, err
		}
		return client, nil
	}
}
