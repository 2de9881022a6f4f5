package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/bronzeturn/bronzeturn/attempt"
	"github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1/bronzeturnv1connect"
)

// Peer is a daemon that may be asked to connect.
type Peer struct {
	Name       string
	DataCentre string
}

// Options configure a Relay. All fields are required.
type Options struct {
	// Dial opens a connection over this daemon's own path.
	Dial attempt.DialFunc
	// Timeout bounds the time to open a connection over any path.
	Timeout    time.Duration
	DataCentre string
	// Peers returns the other daemons that accept requests.
	Peers func() []Peer
	// Client returns a client for a daemon, or nil if the daemon is unknown.
	Client func(daemon string) bronzeturnv1connect.RelayServiceClient
	// Backends returns the backend servers that are registered now.
	Backends func() *Backends
	// Random is used by the Relay only.
	Random     *rand.Rand
	Log        zerolog.Logger
	Registerer prometheus.Registerer
}

// Relay opens connections to backend servers over the direct path or through other daemons.
type Relay struct {
	Options
	paths  *paths
	peers  *peerHealth
	random *lockedRand
	server *Server
	opened *prometheus.CounterVec
}

// New returns a Relay.
func New(o Options) *Relay {
	r := &Relay{Options: o, paths: newPaths(), peers: newPeerHealth(), random: &lockedRand{random: o.Random}}
	r.opened = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "bronzeturn_relay_connections_total", Help: "Connections opened to backend servers, by path: direct or relayed.",
	}, []string{"path"})
	broken := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "bronzeturn_relay_broken_paths", Help: "Backend servers that this daemon reaches through other daemons only.",
	}, func() float64 { return float64(r.paths.brokenCount()) })
	o.Registerer.MustRegister(r.opened, broken)
	r.server = &Server{relay: r, metrics: newServerMetrics(o.Registerer)}
	return r
}

// linksWork reports whether another backend server accepts a connection over this daemon's own
// path now. If so, a refusal by the one at address comes from its host and not from the network.
func (r *Relay) linksWork(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), headStart)
	defer cancel()
	others := r.Backends().others(address, r.random)
	// Many backend servers may be down at once. Those that are not known to be are tried first.
	slices.SortStableFunc(others, func(a, b string) int { return compareBool(r.paths.hasFailed(a), r.paths.hasFailed(b)) })
	for _, other := range others[:min(len(others), maxLinkChecks)] {
		conn, err := r.Options.Dial(ctx, "tcp", other)
		if err == nil {
			r.directWorks(other)
			_ = conn.Close() // It was opened for the check only.
			return true
		}
		if ctx.Err() == nil {
			r.paths.fails(other, err, time.Now())
		}
	}
	return false
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// Server returns the server for the calls of other daemons.
func (r *Relay) Server() *Server { return r.server }

// Dial opens a connection. It is an attempt.DialFunc. The direct path gets a head start unless
// it is known as broken. A broken path is tried beside the others from time to time, and used
// again as soon as it works.
func (r *Relay) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	broken, due := r.paths.plan(address, time.Now())
	c := &race{relay: r, network: network, address: address, results: make(chan result), running: make(map[path]bool)}
	c.ctx, c.cancel = context.WithCancel(ctx)
	defer c.cancel()
	if !broken {
		return c.run([]path{directPath}, headStart)
	}
	if due {
		return c.run([]path{directPath}, 0)
	}
	return c.run(nil, 0)
}

// directWorks records that the direct path works.
func (r *Relay) directWorks(address string) {
	if r.paths.works(address) {
		r.Log.Info().Str("address", address).Msg("direct path to a backend server works again")
	}
}

// directFails records that a backend server was reached through another daemon only.
func (r *Relay) directFails(address, daemon string) {
	if r.paths.breaks(address, time.Now()) {
		r.Log.Warn().Str("address", address).Str("through", daemon).Msg("direct path to a backend server is broken; connecting through other daemons")
	}
}

// connectThrough opens a connection through another daemon.
func (r *Relay) connectThrough(ctx context.Context, daemon, address string) (net.Conn, error) {
	client := r.Client(daemon)
	if client == nil {
		return nil, &CallError{Daemon: daemon, Cause: errUnknownDaemon}
	}
	timeout := r.Timeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(deadline))
	}
	return connectThrough(ctx, client, daemon, address, timeout)
}

var errUnknownDaemon = errors.New("the daemon is not known")

// detours returns the paths through other daemons in the order in which to try them, and the
// direct path last if it has not been tried.
func (r *Relay) detours(address string, directLast bool) []path {
	near := []string{r.DataCentre, r.Backends().DataCentres[address]}
	peers := r.Peers()
	r.random.shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	r.peers.sort(peers, near, time.Now())
	paths := make([]path, 0, maxRelays+1)
	for _, peer := range peers[:min(len(peers), maxRelays)] {
		paths = append(paths, path{peer.Name})
	}
	if directLast {
		paths = append(paths, directPath)
	}
	return paths
}
