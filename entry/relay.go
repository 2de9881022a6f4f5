package entry

import (
	"context"
	"sync/atomic"

	"connectrpc.com/connect"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1/bronzeturnv1connect"
	"github.com/bronzeturn/bronzeturn/inventory"
	"github.com/bronzeturn/bronzeturn/membership"
	"github.com/bronzeturn/bronzeturn/peer"
	"github.com/bronzeturn/bronzeturn/relay"
)

// newRelay returns the relay, which connects to engines directly or through other daemons.
func newRelay(d *Daemon) *relay.Relay {
	addresses := &engineAddresses{}
	return relay.New(relay.Options{
		Dial: d.DialEngine, Timeout: engineDial.Connect, DataCentre: d.Settings.DataCentre,
		Peers: d.fleet.relayPeers, Client: d.fleet.relayClient,
		Backends: func() *relay.Backends { return addresses.of(d.engines.View()) },
		Random:   d.rand(randRelay), Log: d.logger("relay"), Registerer: d.registry,
	})
}

// relayServer serves the relay's calls. The daemon creates its relay after its peer server.
type relayServer struct{ daemon *Daemon }

// Connect implements bronzeturnv1connect.RelayServiceHandler.
func (s relayServer) Connect(ctx context.Context, stream *connect.BidiStream[bronzeturnv1.ConnectRequest, bronzeturnv1.ConnectResponse]) error {
	return s.daemon.relay.Server().Connect(ctx, stream)
}

// relayPeers returns the other daemons that accept requests.
func (f *fleet) relayPeers() (peers []relay.Peer) {
	for _, m := range f.members.View().Members {
		if m.State != membership.Live || m.Name == f.daemon.Settings.Name {
			continue
		}
		if _, ready, ok := f.members.Table().Get(readyPrefix + m.Name); ok && len(ready) > 0 {
			peers = append(peers, relay.Peer{Name: m.Name, DataCentre: m.DataCentre})
		}
	}
	return peers
}

// relayClient returns a client for a daemon, or nil if the daemon is unknown.
func (f *fleet) relayClient(daemon string) bronzeturnv1connect.RelayServiceClient {
	client, base, ok := f.directory.Dial(daemon)
	if !ok {
		return nil
	}
	return bronzeturnv1connect.NewRelayServiceClient(client, base, peer.ClientOptions()...)
}

// engineAddresses caches the addresses of the engines in the view that it was last asked for. It
// is safe for concurrent use.
type engineAddresses struct {
	last atomic.Pointer[addressesOfView]
}

// addressesOfView holds the addresses of the engines in a view.
type addressesOfView struct {
	view     *inventory.View
	backends *relay.Backends
}

// of returns the addresses of the engines in a view.
func (a *engineAddresses) of(view *inventory.View) *relay.Backends {
	if last := a.last.Load(); last != nil && last.view == view {
		return last.backends
	}
	backends := relay.NewBackends(len(view.Engines))
	for _, e := range view.Engines {
		backends.Add(e.Address, e.DataCentre)
	}
	a.last.Store(&addressesOfView{view: view, backends: backends})
	return backends
}
