package security

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"
)

// Bounds of client connections.
const (
	handshakeTimeout = 5 * time.Second
	idleTimeout      = 90 * time.Second
	// pingInterval is the silence after which a connection is probed, pingTimeout
	// how long the probe may take before the connection is dropped.
	pingInterval = 10 * time.Second
	pingTimeout  = 5 * time.Second
)

// Server returns the configuration of a listener. With authorities, every
// client has to present a certificate that they signed. Sessions are not
// resumed, so that replaced files hold for every new connection.
func (c *Credentials) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocolHTTP2, protocolHTTP1},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return c.server(), nil
		},
		SessionTicketsDisabled: true,
	}
}

func (c *Credentials) server() *tls.Config {
	m := c.material()
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

// Client returns the configuration of one new connection to the named server.
// It must not be kept, since the files may change.
func (c *Credentials) Client(serverName string) *tls.Config {
	m := c.material()
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

// NewTransport returns an HTTP/2 transport over dial that authenticates with c.
// A nil Credentials gives plain text. Silent connections are probed and dropped.
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

// dialTLS returns a function that opens a connection and authenticates it.
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
