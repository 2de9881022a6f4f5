package entry

import (
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

// TestTakenMetricsPortStopsNoDaemon has the port of the metrics taken, then that of the
// readiness.
func TestTakenMetricsPortStopsNoDaemon(t *testing.T) {
	c := qt.New(t)
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer taken.Close()
	d := &Daemon{log: zerolog.Nop(), registry: prometheus.NewRegistry()}
	d.Documents = pathDocuments{}
	d.Settings.ReadyListen, d.Settings.MetricsListen = "127.0.0.1:0", taken.Addr().String()
	s, err := newServers(d)
	c.Assert(err, qt.IsNil)
	c.Check(s.all, qt.HasLen, 1)
	s.stop()
	d.Settings.ReadyListen = taken.Addr().String()
	_, err = newServers(d)
	c.Check(err, qt.ErrorMatches, "listener for readiness on .*")
}

// pathDocuments have the path of the question for addresses alone.
type pathDocuments struct{ Documents }

func (pathDocuments) AddressesPath() string { return "/addresses" }
