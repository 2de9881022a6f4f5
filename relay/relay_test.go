package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/bronzeturn/bronzeturn/attempt"
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1/bronzeturnv1connect"
	"github.com/bronzeturn/bronzeturn/peer"
)

// daemon is a daemon with a relay, whose own paths can be replaced.
type daemon struct {
	*Relay
	name    string
	address string
	// kill closes the daemon's listener and all its connections.
	kill func()
	// dials counts the attempts over the daemon's own path.
	dials atomic.Int64

	mu   sync.Mutex
	dial func(ctx context.Context, network, address string) (net.Conn, error)
	// asked holds the names of the daemons that were asked for connections, in order.
	asked []string
}

// takeAsked returns the names of the daemons that were asked since the last call.
func (d *daemon) takeAsked() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	asked := d.asked
	d.asked = nil
	return asked
}

// setPath replaces the daemon's own path.
func (d *daemon) setPath(dial func(ctx context.Context, network, address string) (net.Conn, error)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dial = dial
}

func (d *daemon) dialDirect(ctx context.Context, network, address string) (net.Conn, error) {
	d.dials.Add(1)
	d.mu.Lock()
	dial := d.dial
	d.mu.Unlock()
	return dial(ctx, network, address)
}

// The paths of a daemon.
var open = (&net.Dialer{}).DialContext

func silent(ctx context.Context, _, _ string) (net.Conn, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func refused(context.Context, string, string) (net.Conn, error) {
	return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
}

// startDaemons starts daemons that know each other, the backend server at an address and another
// one that always accepts connections. They are divided among two data centres.
func startDaemons(t *testing.T, n int, backend string) []*daemon {
	c := qt.New(t)
	backends := NewBackends(2)
	backends.Add(backend, "hall-1")
	backends.Add(startBackend(t, echo), "hall-0")
	all := make([]*daemon, n)
	traffic, err := peer.NewTraffic(nil)
	c.Assert(err, qt.IsNil)
	directory := peer.NewDirectory(peer.ResolverFunc(func(name string) (string, bool) {
		i := slices.IndexFunc(all, func(d *daemon) bool { return d.name == name })
		if i < 0 {
			return "", false
		}
		return all[i].address, true
	}), nil, traffic)
	t.Cleanup(directory.Close)
	for i := range n {
		d := &daemon{name: fmt.Sprintf("entry-%d", i), dial: open}
		all[i] = d
		d.Relay = New(Options{
			Dial: d.dialDirect, Timeout: 350 * time.Millisecond, DataCentre: fmt.Sprintf("hall-%d", i%2),
			Peers: func() (peers []Peer) {
				for j, other := range all {
					if other != d {
						peers = append(peers, Peer{Name: other.name, DataCentre: fmt.Sprintf("hall-%d", j%2)})
					}
				}
				return peers
			},
			Client: func(name string) bronzeturnv1connect.RelayServiceClient {
				d.mu.Lock()
				d.asked = append(d.asked, name)
				d.mu.Unlock()
				client, base, ok := directory.Dial(name)
				if !ok {
					return nil
				}
				return bronzeturnv1connect.NewRelayServiceClient(client, base, peer.ClientOptions()...)
			},
			Backends: func() *Backends { return backends }, Random: rand.New(rand.NewPCG(1, uint64(i))),
			Log: zerolog.Nop(), Registerer: prometheus.NewRegistry(),
		})
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		d.address = listener.Addr().String()
		mux := http.NewServeMux()
		mux.Handle(bronzeturnv1connect.NewRelayServiceHandler(d.Server(), peer.HandlerOptions()...))
		server := peer.NewServer(listener, mux, nil, traffic)
		server.Start()
		d.kill = func() {
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			_ = server.Stop(ctx) // Calls in progress are cut.
		}
		t.Cleanup(d.kill)
	}
	return all
}

// startBackend starts a backend server that handles each connection with a function. It keeps a
// reference to each connection until the test ends: the garbage collector closes others.
func startBackend(t *testing.T, handle func(conn *net.TCPConn)) (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	var accepting sync.WaitGroup
	var accepted []net.Conn
	t.Cleanup(func() {
		_ = listener.Close()
		accepting.Wait()
		for _, conn := range accepted {
			_ = conn.Close()
		}
	})
	accepting.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted = append(accepted, conn)
			go handle(conn.(*net.TCPConn))
		}
	})
	return listener.Addr().String()
}

// echo answers with what it gets until the other side closes.
func echo(conn *net.TCPConn) {
	_, _ = io.Copy(conn, conn) // The other side closes.
	_ = conn.Close()
}

func checkEcho(c *qt.C, conn net.Conn) {
	sent := make([]byte, 3*chunkBytes+1)
	for i := range sent {
		sent[i] = byte(i)
	}
	go func() { _, _ = conn.Write(sent) }() // A failed write shows as a failed read.
	got := make([]byte, len(sent))
	_, err := io.ReadFull(conn, got)
	c.Assert(err, qt.IsNil)
	c.Check(slices.Equal(got, sent), qt.IsTrue)
}

// TestBrokenPathIsReplaced guards against taking a broken path for a backend server that is
// down, and against staying on detours when the path works again.
func TestBrokenPathIsReplaced(t *testing.T) {
	for name, path := range map[string]func(ctx context.Context, network, address string) (net.Conn, error){"silent": silent, "refused": refused} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			backend := startBackend(t, echo)
			all := startDaemons(t, 4, backend)
			all[0].setPath(path)
			for range 5 {
				conn, err := all[0].Dial(t.Context(), "tcp", backend)
				c.Assert(err, qt.IsNil)
				checkEcho(c, conn)
				c.Check(conn.Close(), qt.IsNil)
			}
			c.Check(all[0].paths.brokenCount(), qt.Equals, 1)
			c.Check(all[0].dials.Load() <= 2, qt.IsTrue, qt.Commentf("%d attempts over a broken path", all[0].dials.Load()))
			all[0].setPath(open)
			time.Sleep(probeInterval)
			conn, err := all[0].Dial(t.Context(), "tcp", backend)
			c.Assert(err, qt.IsNil)
			checkEcho(c, conn)
			_ = conn.Close()
			deadline := time.Now().Add(time.Second)
			for all[0].paths.brokenCount() > 0 && time.Now().Before(deadline) {
				time.Sleep(time.Millisecond)
			}
			c.Check(all[0].paths.brokenCount(), qt.Equals, 0)
		})
	}
}

// TestPartitionOfManyDaemonsLeavesAPath guards against asking only daemons that are partitioned
// themselves, and against connections that go in circles between them.
func TestPartitionOfManyDaemonsLeavesAPath(t *testing.T) {
	for name, path := range map[string]func(ctx context.Context, network, address string) (net.Conn, error){"silent": silent, "refused": refused} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			backend := startBackend(t, echo)
			all := startDaemons(t, 6, backend)
			const working = 5
			for _, d := range all[:working] {
				d.setPath(path)
			}
			failed := 0
			for i := range 30 {
				conn, err := all[i%working].Dial(t.Context(), "tcp", backend)
				if err != nil {
					failed++
					c.Check(errors.Is(err, syscall.ECONNREFUSED), qt.Equals, false, qt.Commentf("%v", err))
					continue
				}
				checkEcho(c, conn)
				_ = conn.Close()
			}
			c.Check(failed <= 5, qt.IsTrue, qt.Commentf("%d of 30 failed", failed))
		})
	}
}

// TestRefusalIsConfirmed guards against taking refused connections of a broken network for the
// end of a backend server, and the end of one for a broken network.
func TestRefusalIsConfirmed(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	backend := listener.Addr().String()
	c.Assert(listener.Close(), qt.IsNil)
	all := startDaemons(t, 3, backend)
	_, err = all[0].Dial(t.Context(), "tcp", backend)
	c.Check(errors.Is(err, syscall.ECONNREFUSED), qt.IsTrue, qt.Commentf("%v", err))

	alone := startDaemons(t, 1, backend)
	_, err = alone[0].Dial(t.Context(), "tcp", backend)
	c.Check(errors.Is(err, syscall.ECONNREFUSED), qt.IsTrue, qt.Commentf("%v", err))

	// Without a working link, the daemon asks others, and they confirm.
	all = startDaemons(t, 3, backend)
	all[0].setPath(refused)
	_, err = all[0].Dial(t.Context(), "tcp", backend)
	c.Check(errors.Is(err, syscall.ECONNREFUSED), qt.IsTrue, qt.Commentf("%v", err))
	all = startDaemons(t, 3, backend)
	for _, d := range all {
		d.setPath(refused)
	}
	_, err = all[0].Dial(t.Context(), "tcp", backend)
	c.Check(errors.Is(err, syscall.ECONNREFUSED), qt.IsFalse, qt.Commentf("%v", err))
}

// TestSimultaneousRefusalsAreConfirmed guards against taking the end of a backend server for a broken
// network when all daemons notice it at once, or when most other backend servers have ended too.
func TestSimultaneousRefusalsAreConfirmed(t *testing.T) {
	c := qt.New(t)
	ended := make([]string, 9)
	for i := range ended {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		ended[i] = listener.Addr().String()
		c.Assert(listener.Close(), qt.IsNil)
	}
	all := startDaemons(t, 6, ended[0])
	for _, address := range ended[1:] {
		all[0].Backends().Add(address, "hall-1") // All daemons share the list.
	}
	for _, address := range ended {
		var dialing sync.WaitGroup
		errs := make([]error, len(all))
		for i, d := range all {
			dialing.Go(func() { _, errs[i] = d.Dial(t.Context(), "tcp", address) })
		}
		dialing.Wait()
		for _, err := range errs {
			c.Check(errors.Is(err, syscall.ECONNREFUSED), qt.IsTrue, qt.Commentf("%v", err))
		}
	}
}

// TestResetIsNotTheEndOfAnAnswer guards against taking an answer that was cut off for a complete
// one: an answer may end with its connection.
func TestResetIsNotTheEndOfAnAnswer(t *testing.T) {
	c := qt.New(t)
	for name, cut := range map[string]bool{"closed": false, "reset": true} {
		backend := startBackend(t, func(conn *net.TCPConn) {
			_, _ = io.WriteString(conn, "part")
			time.Sleep(20 * time.Millisecond)
			if cut {
				_ = conn.SetLinger(0)
			}
			_ = conn.Close()
		})
		all := startDaemons(t, 2, backend)
		all[0].setPath(refused)
		conn, err := all[0].Dial(t.Context(), "tcp", backend)
		c.Assert(err, qt.IsNil)
		got, err := io.ReadAll(conn)
		c.Check(string(got), qt.Equals, "part", qt.Commentf(name))
		c.Check(err != nil, qt.Equals, cut, qt.Commentf("%s: %v", name, err))
	}
}

// TestEndOfTheRelayIsNotTheEndOfAnAnswer guards against taking the end of the daemon that
// forwards a connection for the end of the answer.
func TestEndOfTheRelayIsNotTheEndOfAnAnswer(t *testing.T) {
	c := qt.New(t)
	backend := startBackend(t, func(conn *net.TCPConn) { _, _ = io.WriteString(conn, "part") })
	all := startDaemons(t, 2, backend)
	all[0].setPath(refused)
	conn, err := all[0].Dial(t.Context(), "tcp", backend)
	c.Assert(err, qt.IsNil)
	runtime.GC()
	time.AfterFunc(50*time.Millisecond, all[1].kill)
	got, err := io.ReadAll(conn)
	c.Check(string(got), qt.Equals, "part")
	c.Check(err, qt.IsNotNil)
}

// TestClosedConnectionIsClosedAtTheBackendServer guards against backend servers that go on
// working for callers that have left.
func TestClosedConnectionIsClosedAtTheBackendServer(t *testing.T) {
	c := qt.New(t)
	closed := make(chan time.Time, 1)
	backend := startBackend(t, func(conn *net.TCPConn) {
		_, _ = io.Copy(io.Discard, conn) // Returns when the other side closes.
		closed <- time.Now()
	})
	all := startDaemons(t, 2, backend)
	all[0].setPath(silent)
	conn, err := all[0].Dial(t.Context(), "tcp", backend)
	c.Assert(err, qt.IsNil)
	_, err = io.WriteString(conn, "request")
	c.Assert(err, qt.IsNil)
	left := time.Now()
	c.Assert(conn.Close(), qt.IsNil)
	select {
	case at := <-closed:
		c.Check(at.Sub(left) < 200*time.Millisecond, qt.IsTrue, qt.Commentf("after %v", at.Sub(left)))
	case <-time.After(2 * time.Second):
		c.Fatal("the connection stayed open")
	}
}

// TestOnlyBackendServersAreReached guards against a daemon that connects its peers to any
// address.
func TestOnlyBackendServersAreReached(t *testing.T) {
	c := qt.New(t)
	other := startBackend(t, echo)
	all := startDaemons(t, 2, startBackend(t, echo))
	all[0].setPath(silent)
	_, err := all[0].Dial(t.Context(), "tcp", other)
	c.Check(err, qt.IsNotNil)
	c.Check(all[1].dials.Load(), qt.Equals, int64(0))
}

// TestNumberOfForwardedConnectionsIsBounded guards against a daemon that runs out of descriptors
// for its peers.
func TestNumberOfForwardedConnectionsIsBounded(t *testing.T) {
	c := qt.New(t)
	backend := startBackend(t, echo)
	all := startDaemons(t, 2, backend)
	all[0].setPath(refused)
	all[1].server.active.Store(maxForwarded)
	_, err := all[0].Dial(t.Context(), "tcp", backend)
	var refusal *RefusalError
	c.Assert(errors.As(err.(*PathError).Relayed[0], &refusal), qt.IsTrue)
	c.Check(refusal.Outcome, qt.Equals, bronzeturnv1.ConnectOutcome_CONNECT_OUTCOME_BUSY)
}

// TestDaemonThatDoesNotAnswerIsPassedOver guards against waiting for a frozen daemon with each
// connection.
func TestDaemonThatDoesNotAnswerIsPassedOver(t *testing.T) {
	c := qt.New(t)
	backend := startBackend(t, echo)
	all := startDaemons(t, 3, backend)
	frozen := startBackend(t, func(*net.TCPConn) {})
	all[1].address = frozen
	all[0].setPath(refused)
	for i := range 3 {
		conn, err := all[0].Dial(t.Context(), "tcp", backend)
		c.Assert(err, qt.IsNil)
		_ = conn.Close()
		asked := all[0].takeAsked()
		if i > 0 {
			c.Check(asked[0], qt.Equals, all[2].name, qt.Commentf("asked %v", asked))
		}
	}
}

// TestStoppingDaemonCompletesForwardedConnections guards against a planned stop that cuts requests
// of other daemons.
func TestStoppingDaemonCompletesForwardedConnections(t *testing.T) {
	c := qt.New(t)
	backend := startBackend(t, echo)
	all := startDaemons(t, 2, backend)
	all[0].setPath(refused)
	conn, err := all[0].Dial(t.Context(), "tcp", backend)
	c.Assert(err, qt.IsNil)
	server := all[1].Server()
	server.StopAdmitting()
	_, err = all[0].Dial(t.Context(), "tcp", backend)
	c.Check(err, qt.IsNotNil, qt.Commentf("a new connection through a daemon that stops"))
	ended, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	c.Check(server.Drain(ended), qt.IsNotNil)
	checkEcho(c, conn)
	c.Check(conn.Close(), qt.IsNil)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	c.Check(server.Drain(ctx), qt.IsNil)
}

// TestRequestWithoutAConnectionIsNotSent guards against taking the connection to another daemon for
// the one to the backend server: a request that got no connection has certainly not run.
func TestRequestWithoutAConnectionIsNotSent(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	backend := listener.Addr().String()
	c.Assert(listener.Close(), qt.IsNil)
	all := startDaemons(t, 3, backend)
	_, err = attempt.Send(t.Context(), attempt.NewUnpooledTransport(all[0].Dial), attempt.Request{
		Method: http.MethodPost, URL: "http://" + backend + "/", Body: []byte("request"),
	})
	var failed *attempt.Error
	c.Assert(errors.As(err, &failed), qt.IsTrue)
	c.Check(failed.Stage, qt.Equals, attempt.NotSent, qt.Commentf("%v", err))
}

// TestAnswerThatIsNotReadStaysAtTheBackendServer guards against relayed answers of which the daemon keeps
// megabytes that its callers have not taken.
func TestAnswerThatIsNotReadStaysAtTheBackendServer(t *testing.T) {
	const connections, maxUnread = 8, 1 << 20
	c := qt.New(t)
	var sent atomic.Int64
	address := startBackend(t, func(conn *net.TCPConn) {
		_ = conn.SetWriteBuffer(64 << 10)
		block := make([]byte, 16<<10)
		for {
			n, err := conn.Write(block)
			sent.Add(int64(n))
			if err != nil {
				return
			}
		}
	})
	all := startDaemons(t, 2, address)
	all[0].setPath(refused)
	for range connections {
		conn, err := all[0].Dial(t.Context(), "tcp", address)
		c.Assert(err, qt.IsNil)
		defer conn.Close()
	}
	for before := int64(-1); sent.Load() != before; time.Sleep(300 * time.Millisecond) {
		before = sent.Load()
	}
	c.Check(sent.Load() <= connections*maxUnread, qt.IsTrue, qt.Commentf("%d bytes of %d answers were sent", sent.Load(), connections))
}
