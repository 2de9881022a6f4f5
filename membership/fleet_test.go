package membership

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/bronzeturn/bronzeturn/gossip"
	"github.com/bronzeturn/bronzeturn/peer"
)

func TestMain(m *testing.M) {
	if seed := os.Getenv(processSeed); seed != "" {
		runProcess(seed)
		return
	}
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "12")
	os.Exit(m.Run())
}

// waitLimit limits the wait for an expected event. It is far longer than the event takes.
const waitLimit = 20 * time.Second

// daemon is a Membership that serves a loopback listener.
type daemon struct {
	*Membership
	traffic *peer.Traffic
	address string
	stop    func()
}

// startDaemon starts a daemon with the given seeds.
func startDaemon(t testing.TB, name, dataCentre string, list HostList, seeds ...string) *daemon {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	traffic, err := peer.NewTraffic(nil)
	c.Assert(err, qt.IsNil)
	directory := peer.NewDirectory(nil, nil, traffic)
	address := listener.Addr().String()
	m, err := New(Options{
		Self:     Self{Name: name, DataCentre: dataCentre, PeerAddress: address, CallerAddress: "caller-" + name},
		Seeds:    seeds,
		Dialer:   &gossip.StreamDialer{Directory: directory},
		HostList: list,
		Classes:  []gossip.Class{{Prefix: "test/", MaxEntries: 1000, MaxValueBytes: 1000}},
		Random:   rand.New(rand.NewPCG(1, 2)),
		Log:      zerolog.Nop(),
	})
	c.Assert(err, qt.IsNil)
	mux := http.NewServeMux()
	mux.Handle(gossip.NewHandler(m.Table()))
	server := peer.NewServer(listener, mux, nil, traffic)
	server.Start()
	m.Start()
	d := &daemon{Membership: m, traffic: traffic, address: address}
	stopped := false
	d.stop = func() {
		if stopped {
			return
		}
		stopped = true
		ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
		defer cancel()
		c.Check(m.Stop(ctx), qt.IsNil)
		directory.Close()
		c.Check(server.Stop(ctx), qt.IsNil)
	}
	t.Cleanup(d.stop)
	return d
}

// waitView waits until the daemon's view satisfies the condition.
func waitView(t testing.TB, d *daemon, what string, condition func(*View) bool) {
	t.Helper()
	met := make(chan struct{}, 1)
	d.Subscribe(func(v *View) {
		if condition(v) {
			select {
			case met <- struct{}{}:
			default:
			}
		}
	})
	select {
	case <-met:
	case <-time.After(waitLimit):
		t.Fatalf("%s: no view in which %s; %d daemons known, %d live%s", d.options.Self.Name, what, len(d.View().Members), d.View().Live(), contactsOf(d))
	}
}

// waitEntry waits until the daemon's table holds the version of the key.
func waitEntry(t testing.TB, d *daemon, key string, version uint64) {
	t.Helper()
	met := make(chan struct{}, 1)
	d.Table().Subscribe(key, func(_ string, v uint64, _ []byte) {
		if v == version {
			met <- struct{}{}
		}
	})
	select {
	case <-met:
	case <-time.After(waitLimit):
		t.Fatalf("%s never got %s", d.options.Self.Name, key)
	}
}

// contactsOf describes a daemon's contacts for failure messages.
func contactsOf(d *daemon) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var b strings.Builder
	for name, c := range d.contacts {
		fmt.Fprintf(&b, "\n%s: monitored %v, heard %v ago, lost %v, reported %v %v, suspicions %v",
			name, c.monitored, time.Since(c.heard), c.lost, c.reported, c.report, d.records.suspicions[name])
	}
	return b.String()
}
