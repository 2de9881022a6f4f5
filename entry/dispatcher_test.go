package entry

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

// newSchedulingDaemon returns a daemon with a fleet of its own and a dispatcher.
func newSchedulingDaemon(t *testing.T) *Daemon {
	c := qt.New(t)
	d := &Daemon{log: zerolog.Nop(), registry: prometheus.NewRegistry(), started: time.Now()}
	d.Settings = Settings{Name: "a", DataCentre: "x", PeerListen: "127.0.0.1:0", CallerListen: "127.0.0.1:1", Scheduling: true}
	var err error
	d.dispatcher, err = newDispatcher(d)
	c.Assert(err, qt.IsNil)
	d.fleet, err = newFleet(d)
	c.Assert(err, qt.IsNil)
	t.Cleanup(func() { _ = d.fleet.listener.Close() })
	return d
}

// TestContentionIsAnnounced guards against daemons that do not learn that a service is contended,
// and against an entry that is older than one of a daemon whose clock is ahead.
func TestContentionIsAnnounced(t *testing.T) {
	c := qt.New(t)
	d := newSchedulingDaemon(t)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- d.dispatcher.Run(ctx) }()
	defer func() { stop(); c.Check(<-ended, qt.IsNil) }()
	d.fleet.members.Start()
	defer func() { _ = d.fleet.members.Stop(ctx) }()
	d.fleet.members.Table().Subscribe(contendedPrefix, d.fleet.receiveContended)
	c.Check(d.dispatcher.Contended("s"), qt.IsFalse)
	ahead := uint64(time.Now().Add(time.Minute).UnixMilli())
	d.fleet.publish(contendedPrefix+"s", ahead, []byte{1})
	d.fleet.announceContended("s")
	version, _, _ := d.fleet.members.Table().Get(contendedPrefix + "s")
	c.Check(version, qt.Equals, ahead+1)
	const bound = 10 * time.Second
	for start := time.Now(); !d.dispatcher.Contended("s"); time.Sleep(time.Millisecond) {
		c.Assert(time.Since(start) < bound, qt.IsTrue, qt.Commentf("the service does not become contended"))
	}
	c.Check(d.fleet.coordinatorOf("s"), qt.Equals, "a", qt.Commentf("the only daemon"))
}
