package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/bronzeturn/bronzeturn/attempt"
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
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
func (r *Relay) linksWork(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, headStart)
	defer cancel()
	for _, other := range r.Backends().others(address, r.random) {
		if conn, err := r.Options.Dial(ctx, "tcp", other); err == nil {
			_ = conn.Close() // It was opened for the check only.
			return true
		}
	}
	return false
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

// path is one way to connect: through the named daemon, or directly if the name is empty.
type path struct{ daemon string }

var directPath = path{}

// result is the end of one attempt.
type result struct {
	path path
	conn net.Conn
	err  error
}

// race is one Dial: attempts over several paths, of which the first one to connect wins.
type race struct {
	relay            *Relay
	network, address string
	ctx              context.Context
	cancel           context.CancelFunc
	results          chan result
	// running are the attempts without a result.
	running map[path]bool
	// rest are the paths not tried yet. They are nil until planned is set.
	rest    []path
	planned bool
	failed  PathError
}

// run starts the given paths and, when the lead has passed or these have failed, those through
// other daemons one after the other.
func (c *race) run(first []path, lead time.Duration) (net.Conn, error) {
	c.failed.Address = c.address
	for _, p := range first {
		c.start(p)
	}
	timer := time.NewTimer(lead)
	defer timer.Stop()
	due := time.Now().Add(lead)
	for {
		if len(c.running) == 0 && !c.startNext(timer, len(first) == 0) {
			return nil, c.fail()
		}
		select {
		case r := <-c.results:
			delete(c.running, r.path)
			if r.err == nil {
				c.win(r.path)
				return r.conn, nil
			}
			if c.lose(r) {
				return nil, c.fail()
			}
		case now := <-timer.C:
			if !c.planned && now.Sub(due) > maxTimerDelay {
				due = now.Add(lead)
				timer.Reset(lead)
				continue
			}
			c.startNext(timer, len(first) == 0)
		case <-c.ctx.Done():
			return nil, c.fail()
		}
	}
}

// startNext starts the next path through another daemon, or the direct path after all of them
// if directLast is set. It returns false if there is no further path.
func (c *race) startNext(timer *time.Timer, directLast bool) bool {
	if !c.planned {
		c.rest, c.planned = c.relay.detours(c.address, directLast), true
	}
	if len(c.rest) == 0 {
		return false
	}
	c.start(c.rest[0])
	c.rest = c.rest[1:]
	timer.Reset(nextRelayAfter)
	return true
}

// start starts an attempt. Its connection is closed if the race ends without it.
func (c *race) start(p path) {
	c.running[p] = true
	go func() {
		conn, err := c.connect(p)
		select {
		case c.results <- result{path: p, conn: conn, err: err}:
		case <-c.ctx.Done():
			c.relay.abandon(p, c.address, conn)
		}
	}()
}

// connect makes an attempt over a path. An attempt over the direct path continues when another
// path has won, so that the end of a partition is noticed.
func (c *race) connect(p path) (net.Conn, error) {
	if p != directPath {
		return c.relay.connectThrough(c.ctx, p.daemon, c.address)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.ctx), c.relay.Timeout)
	defer cancel()
	conn, err := c.relay.Options.Dial(ctx, c.network, c.address)
	if errors.Is(err, syscall.ECONNREFUSED) && c.relay.linksWork(ctx, c.address) {
		return nil, &RefusalError{Outcome: bronzeturnv1.ConnectOutcome_CONNECT_OUTCOME_REFUSED}
	}
	return conn, err
}

// win records the path that has connected. Daemons that were asked earlier and have not
// answered are slower than the time that each of them has.
func (c *race) win(winner path) {
	if winner == directPath {
		c.relay.directWorks(c.address)
		c.relay.opened.WithLabelValues("direct").Inc()
		return
	}
	for p := range c.running {
		if p != directPath {
			c.relay.peers.failed(p.daemon, time.Now())
		}
	}
	c.relay.peers.succeeded(winner.daemon, time.Now())
	c.relay.directFails(c.address, winner.daemon)
	c.relay.opened.WithLabelValues("relayed").Inc()
}

// lose records a path that has failed. It reports whether the host of the backend server is known
// to refuse connections, so that no other path can work.
func (c *race) lose(r result) (refused bool) {
	var refusal *RefusalError
	isRefusal := errors.As(r.err, &refusal)
	if r.path == directPath {
		c.failed.Direct = r.err
		c.relay.paths.fails(c.address, false, time.Now())
		return isRefusal
	}
	c.failed.Relayed = append(c.failed.Relayed, r.err)
	if !isRefusal || refusal.atFault() {
		c.relay.peers.failed(r.path.daemon, time.Now())
	}
	return isRefusal && refusal.Outcome == bronzeturnv1.ConnectOutcome_CONNECT_OUTCOME_REFUSED
}

// fail returns the error of a race that no path has won.
func (c *race) fail() error {
	if c.failed.Direct == nil {
		c.failed.Direct = c.ctx.Err()
	}
	if len(c.failed.Relayed) == 0 {
		return c.failed.Direct
	}
	return &c.failed
}

// abandon handles the end of an attempt whose race is over.
func (r *Relay) abandon(p path, address string, conn net.Conn) {
	switch {
	case conn != nil && p == directPath:
		r.directWorks(address)
	case conn == nil && p != directPath:
		return
	}
	if conn != nil {
		_ = conn.Close() // It has not been used.
	}
}

// directWorks records that the direct path works.
func (r *Relay) directWorks(address string) {
	if r.paths.works(address) {
		r.Log.Info().Str("address", address).Msg("direct path to a backend server works again")
	}
}

// directFails records that a backend server was reached through another daemon only.
func (r *Relay) directFails(address, daemon string) {
	if r.paths.fails(address, true, time.Now()) {
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
