package fleetbench

import (
	"context"
	"fmt"
	"net"
	"runtime/pprof"
	"sync"
	"sync/atomic"
	"time"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/hostlist"
	"github.com/bronzeturn/bronzeturn/standin"
)

// Properties of the stand-ins.
const (
	hostListLag    = 200 * time.Millisecond
	reportLag      = 500 * time.Millisecond
	anyPortAddress = "127.0.0.1:0"
)

// externalSystem is a kind of external system that the daemons use.
type externalSystem int

// The external systems.
const (
	systemStore externalSystem = iota
	systemHosts
	systemRating
	systemWeights
	systemEngines
	systemCount
)

var systemNames = [systemCount]string{"object API", "host list", "rating service", "weight store", "engines"}

// traffic counts the open connections of the stand-ins of one external system, and the
// bytes in both directions.
type traffic struct {
	in, out     atomic.Uint64
	connections atomic.Int64
}

// platform holds the stand-ins of one run.
type platform struct {
	register *bronzeturnv1.Register
	rules    *bronzeturnv1.Rules
	store    *standin.ObjectAPI
	urls     [systemCount]string
	traffic  [systemCount]traffic
	cancel   context.CancelFunc
	done     sync.WaitGroup
}

// stop ends the stand-ins.
func (p *platform) stop() {
	p.cancel()
	p.done.Wait()
}

// startPlatform starts the stand-ins for a generated register of the given size.
func startPlatform(size Size, daemons int) (*platform, error) {
	register, rules, err := Generate(size)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &platform{register: register, rules: rules, cancel: cancel}
	// Goroutines inherit the label, so that a profile distinguishes daemons and stand-ins.
	pprof.Do(ctx, pprof.Labels("part", "stand-ins"), func(ctx context.Context) { err = p.start(ctx, daemons) })
	if err != nil {
		p.stop()
		return nil, err
	}
	return p, nil
}

func (p *platform) start(ctx context.Context, daemons int) error {
	p.store = standin.NewObjectAPI(standin.ObjectAPIConfig{})
	servers := [systemCount]server{
		systemStore:   p.store,
		systemHosts:   standin.NewHostList(standin.HostListConfig{Lag: hostListLag, Hosts: p.hostEntries(daemons)}),
		systemRating:  standin.NewRatingService(standin.RatingServiceConfig{}),
		systemWeights: standin.NewWeightStore(standin.WeightStoreConfig{}),
	}
	for kind, s := range servers {
		if s == nil {
			continue
		}
		address, err := p.serve(ctx, externalSystem(kind), s)
		if err != nil {
			return err
		}
		p.urls[kind] = "http://" + address
	}
	return p.startEngines(ctx)
}

// startEngines starts a stand-in for each engine and sets its address in the register.
func (p *platform) startEngines(ctx context.Context) error {
	for _, e := range p.register.GetEngines() {
		address, err := p.serve(ctx, systemEngines, standin.NewEngine(standin.EngineConfig{Versions: e.GetVersions(), ReportLag: reportLag}))
		if err != nil {
			return err
		}
		e.Address = address
	}
	return nil
}

// server is a stand-in of an external system.
type server interface {
	Serve(ctx context.Context, l net.Listener) error
}

// serve runs a stand-in on a free port, counts its traffic and returns its address.
func (p *platform) serve(ctx context.Context, kind externalSystem, s server) (string, error) {
	l, err := net.Listen("tcp", anyPortAddress)
	if err != nil {
		return "", fmt.Errorf("listen for a stand-in: %w", err)
	}
	p.done.Go(func() {
		_ = s.Serve(ctx, &countedListener{Listener: l, traffic: &p.traffic[kind]}) // It returns when ctx is done.
	})
	return l.Addr().String(), nil
}

// hostEntries returns the host list: the hosts of the daemons and of all engines.
func (p *platform) hostEntries(daemons int) []hostlist.Host {
	var hosts []hostlist.Host
	for i := range daemons {
		hosts = append(hosts, hostlist.Host{Name: daemonName(i), DataCentre: p.dataCentre(i), Role: hostlist.RoleEntry, State: hostlist.StateLive})
	}
	for _, e := range p.register.GetEngines() {
		hosts = append(hosts, hostlist.Host{Name: e.GetHost(), DataCentre: e.GetDataCentre(), Role: hostlist.RoleBackend, State: hostlist.StateLive})
	}
	return hosts
}

func daemonName(i int) string { return fmt.Sprintf("entry-%03d", i) }

// dataCentre returns the data centre of daemon i.
func (p *platform) dataCentre(i int) string {
	all := p.register.GetDataCentres()
	return all[i%len(all)].GetName()
}

// arguments returns the command-line arguments of daemon i.
func (p *platform) arguments(i int, seeds string) []string {
	return []string{
		"--name", daemonName(i), "--data-centre", p.dataCentre(i),
		"--caller-listen", anyPortAddress, "--peer-listen", anyPortAddress, "--operator-listen", anyPortAddress, "--admin-listen", anyPortAddress,
		"--store-url", p.urls[systemStore], "--host-list-url", p.urls[systemHosts],
		"--rating-url", p.urls[systemRating], "--weight-store-url", p.urls[systemWeights],
		"--insecure-plaintext-peers", "--insecure-plaintext-operators", "--admin-pprof", "--seeds", seeds,
	}
}

// countedListener counts its open connections and their traffic.
type countedListener struct {
	net.Listener
	traffic *traffic
}

// Accept implements net.Listener.
func (l *countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.traffic.connections.Add(1)
	return &countedConn{Conn: c, traffic: l.traffic}, nil
}

type countedConn struct {
	net.Conn
	traffic *traffic
	once    sync.Once
}

// Read implements net.Conn.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.in.Add(uint64(n))
	return n, err
}

// Write implements net.Conn. It counts before it writes, so that an answer is already
// counted when the client has received it.
func (c *countedConn) Write(b []byte) (int, error) {
	c.traffic.out.Add(uint64(len(b)))
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.once.Do(func() { c.traffic.connections.Add(-1) })
	return c.Conn.Close()
}
