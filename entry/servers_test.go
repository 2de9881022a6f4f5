package entry

import (
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/bronzeturn/bronzeturn/overload"
)

// TestMetricsPortInUseDoesNotStopTheDaemon guards against a daemon that does not start because the
// port of the metrics is in use. A readiness port in use must still be an error.
func TestMetricsPortInUseDoesNotStopTheDaemon(t *testing.T) {
	c := qt.New(t)
	used, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer used.Close()
	d := &Daemon{log: zerolog.Nop(), registry: prometheus.NewRegistry()}
	d.Documents = pathDocuments{}
	d.clients = overload.New(overload.Options{Log: zerolog.Nop(), Registerer: d.registry})
	d.Settings.ReadyListen, d.Settings.MetricsListen = "127.0.0.1:0", used.Addr().String()
	s, err := newServers(d)
	c.Assert(err, qt.IsNil)
	c.Check(s.all, qt.HasLen, 1)
	s.stop()
	d.Settings.ReadyListen = used.Addr().String()
	_, err = newServers(d)
	c.Check(err, qt.ErrorMatches, "listener for readiness on .*")
}

// pathDocuments implements AddressesPath only.
type pathDocuments struct{ Documents }

func (pathDocuments) AddressesPath() string { return "/addresses" }
