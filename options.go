package bronzeturn

import (
	"context"
	"io"
	"net"
	"os"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/bronzeturn/bronzeturn/process"
)

// Options replace what a daemon takes from its process: the network, the
// random source, the log and the metrics. The zero value suits a daemon.
type Options struct {
	// LogWriter takes one line per call. Nil means standard error.
	LogWriter io.Writer
	// Registry collects the metrics. Nil means a new one.
	Registry *prometheus.Registry
	// Listen opens a listener. Nil means TCP.
	Listen func(address string) (net.Listener, error)
	// Dial opens a connection to an outside system. Nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Seed feeds all random sources. Zero means a random seed.
	Seed uint64
	// ProgramVersion is shown to operators.
	ProgramVersion string
}

// withDefaults returns the options with every field set.
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
