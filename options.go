package bronzeturn

import (
	"context"
	"io"
	"net"
	"os"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/bronzeturn/bronzeturn/process"
)

// Options replaces what a daemon otherwise takes from its process: the network,
// the random seed, the log output and the metrics registry. The zero value is
// valid.
type Options struct {
	// LogWriter receives one log line per Write call. Nil means standard error.
	LogWriter io.Writer
	// Registry collects the metrics. Nil means a new one.
	Registry *prometheus.Registry
	// Listen opens a listener. Nil means TCP.
	Listen func(address string) (net.Listener, error)
	// Dial opens a connection to an external system. Nil means net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Seed is the seed of all random sources. Zero means a random seed.
	Seed uint64
	// ProgramVersion is the version reported to operators.
	ProgramVersion string
}

// withDefaults returns the options with unset fields replaced by their defaults.
func (o Options) withDefaults() Options {
	if o.LogWriter == nil {
		o.LogWriter = os.Stderr
	}
	if o.Registry == nil {
		o.Registry = prometheus.NewRegistry()
	}
	if o.Listen == nil {
		o.Listen = func(address string) (net.Listener, error) { return net.Listen("tcp", address) }
	}
	if o.Dial == nil {
		dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAliveInterval}
		o.Dial = dialer.DialContext
	}
	if o.Seed == 0 {
		o.Seed = process.Seed()
	}
	return o
}
