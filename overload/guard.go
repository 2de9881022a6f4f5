package overload

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"github.com/bronzeturn/bronzeturn/backoff"
)

const (
	// memoryShare is the share of the memory of the process that clients may hold.
	memoryShare = 0.4
	// reservedDescriptors is the number of descriptors that are kept for files.
	reservedDescriptors = 200
	// MinDescriptors is the smallest number of descriptors that a process can work with: those that
	// are kept for files, and some connections.
	MinDescriptors = 256
	// minConnections is the least number of connections that a listener accepts.
	minConnections = 8
	// sweepInterval is the time between two checks for connections that take too long.
	sweepInterval = 500 * time.Millisecond
	// logInterval is the least time between two log lines of the same limit of a listener.
	logInterval = time.Second
)

// Shares of the sockets of a process, and of the memory for clients, that the connections of a
// listener may take. The rest is for connections to backend servers, of which each request in
// progress takes one, to the store and to other daemons.
const (
	CallerShare    = 0.3
	PeerShare      = 0.2
	DirectoryShare = 0.05
	OperatorShare  = 0.05
	MonitorShare   = 0.025
)

// Limit names a limit in metrics and log lines.
type Limit string

// Limits of clients.
const (
	// LimitConnections is the number of connections of a listener.
	LimitConnections Limit = "connections"
	// LimitMemory is the memory for clients.
	LimitMemory Limit = "memory"
	// LimitHeadBytes is the size of a request's head, LimitHeadTime the time to send it.
	LimitHeadBytes Limit = "head_bytes"
	LimitHeadTime  Limit = "head_time"
	// LimitIdleTime is the time that a connection may be idle, LimitBodyTime the time without
	// progress in a request's body.
	LimitIdleTime Limit = "idle_time"
	LimitBodyTime Limit = "body_time"
	// LimitRequestTime is the time to send a whole request, or the rest of one that was refused.
	// LimitAnswerTime is the time to take an answer.
	LimitRequestTime Limit = "request_time"
	LimitAnswerTime  Limit = "answer_time"
)

// Options configure a Guard.
type Options struct {
	// MemoryBytes is the memory, Descriptors the number of descriptors that the process may use.
	// Zero means that it is not known, and not bounded.
	MemoryBytes int64
	Descriptors int
	Log         zerolog.Logger
	Registerer  prometheus.Registerer
}

// Guard bounds what the clients of all listeners of a process hold. It is safe for concurrent use.
type Guard struct {
	options Options
	account *Account
	limited *prometheus.CounterVec
	open    *prometheus.GaugeVec

	mu        sync.Mutex
	listeners []*Listener
	// lines limits the rate of log lines.
	lines map[line]*rate.Sometimes
}

// line identifies the log lines of a limit of a listener.
type line struct {
	listener string
	limit    Limit
}

// New returns a Guard.
func New(o Options) *Guard {
	g := &Guard{options: o, account: NewAccount(int64(memoryShare * float64(o.MemoryBytes))), lines: make(map[line]*rate.Sometimes)}
	g.limited = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "bronzeturn_client_limits_total", Help: "Connections and requests of clients that met a limit, by listener and limit.",
	}, []string{"listener", "limit"})
	g.open = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "bronzeturn_client_connections", Help: "Open connections of clients, by listener.",
	}, []string{"listener"})
	held := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "bronzeturn_client_memory_bytes", Help: "Memory that connections, heads, bodies and buffered answers of clients hold.",
	}, func() float64 { return float64(g.account.Used()) })
	limit := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "bronzeturn_client_memory_limit_bytes", Help: "Memory that clients may hold.",
	}, func() float64 { return float64(g.account.Limit()) })
	o.Registerer.MustRegister(g.limited, g.open, held, limit)
	return g
}

// Account returns the account of the memory that clients hold.
func (g *Guard) Account() *Account { return g.account }

// Limits are the limits of the requests on a listener.
type Limits struct {
	// HeadBytes is the size of a request's head in bytes, 0 for that of the HTTP server.
	HeadBytes int
	// HeadTime is the time to send a head, from its first byte on. IdleTime is the time that a
	// connection may be idle, and a body without progress. Zero means unlimited.
	HeadTime, IdleTime time.Duration
}

// ListenerOptions configure a Listener.
type ListenerOptions struct {
	// Name is the value of the listener label.
	Name string
	// Share is the share of sockets and memory that the connections may take.
	Share float64
	// Limits returns the present limits.
	Limits func() Limits
	// RequestTime is the time to send a request, and AnswerTime the time from then on to take its
	// answer. Zero leaves them to the handler.
	RequestTime, AnswerTime time.Duration
	// Plain is set if clients speak HTTP/1.1 without TLS, so that a refusal can be sent before
	// there is a request.
	Plain bool
}

// Listen wraps a listener. Attach must be called for the HTTP server that uses it.
func (g *Guard) Listen(l net.Listener, o ListenerOptions) *Listener {
	guarded := &Listener{Listener: l, guard: g, options: o, max: g.maxConnections(o.Share), conns: make(map[*conn]struct{})}
	if err := boundBuffers(l, guarded.max); err != nil {
		g.options.Log.Warn().Err(err).Str("listener", o.Name).Msg("the bytes that wait to be accepted are not bounded")
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.listeners = append(g.listeners, guarded)
	return guarded
}

// maxConnections returns the number of connections that take a share of sockets and memory.
func (g *Guard) maxConnections(share float64) int {
	byMemory := share * float64(g.account.limit) / connectionBytes
	if g.options.Descriptors <= 0 {
		return int(max(byMemory, minConnections))
	}
	return int(max(min(share*float64(g.options.Descriptors-reservedDescriptors), byMemory), minConnections))
}

// Run closes connections that exceed their times, until ctx is done.
func (g *Guard) Run(ctx context.Context) error {
	for backoff.Tick(ctx, sweepInterval) == nil {
		g.mu.Lock()
		listeners := slices.Clone(g.listeners)
		g.mu.Unlock()
		for _, l := range listeners {
			l.sweep(time.Now())
		}
	}
	return nil
}

// met records that a client met a limit.
func (g *Guard) met(listener string, limit Limit, client net.Addr) {
	g.limited.WithLabelValues(listener, string(limit)).Inc()
	g.mu.Lock()
	lines := g.lines[line{listener, limit}]
	if lines == nil {
		lines = &rate.Sometimes{Interval: logInterval}
		g.lines[line{listener, limit}] = lines
	}
	g.mu.Unlock()
	lines.Do(func() {
		g.options.Log.Warn().Str("listener", listener).Str("limit", string(limit)).Stringer("client", client).
			Int64("memory_bytes", g.account.Used()).Msg("a client met a limit; further ones within a second are only counted")
	})
}

// Attach makes the server report the states of its connections, which must come from the listener,
// and bounds the time that it waits for requests and for bodies which its handler has not read.
func (l *Listener) Attach(s *http.Server) {
	s.ReadTimeout, s.WriteTimeout = l.options.RequestTime, l.options.AnswerTime
	if s.IdleTimeout == 0 {
		s.IdleTimeout = -1 // Otherwise it is that of requests.
	}
	s.Handler = guardRequests(s.Handler)
	s.ConnState = func(c net.Conn, state http.ConnState) {
		guarded := unwrap(c)
		if guarded == nil {
			return
		}
		if secure, ok := c.(*tls.Conn); ok && secure.ConnectionState().NegotiatedProtocol == "h2" {
			guarded.setMultiplexed()
		}
		guarded.setState(state)
	}
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if guarded := unwrap(c); guarded != nil {
			return context.WithValue(ctx, connKey{}, guarded)
		}
		return ctx
	}
}

// guardRequests returns a handler that does not run requests which were refused while their heads
// came, and after which the server waits for the rest of a request's body for a short time only.
// Without a deadline it waits for as long as the client keeps the connection open.
func guardRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c := connOf(r.Context()); c != nil && c.isGivenUp() {
			panic(http.ErrAbortHandler)
		}
		if r.ContentLength != 0 && r.ProtoMajor == 1 {
			defer lingerAfter(w, r)
		}
		next.ServeHTTP(w, r)
	})
}

// lingerAfter bounds the time for the rest of a request's body.
func lingerAfter(w http.ResponseWriter, r *http.Request) {
	if c := connOf(r.Context()); c != nil {
		c.setLingering()
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(lingerTime))
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// connOf returns the connection of a request, or nil.
func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

// unwrap returns the connection below TLS, or nil if it does not come from a Listener.
func unwrap(c net.Conn) *conn {
	if wrapped, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = wrapped.NetConn()
	}
	guarded, _ := c.(*conn)
	return guarded
}
