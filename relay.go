package bronzeturn

import (
	"context"
	"net"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1/bronzeturnv1connect"
	"github.com/bronzeturn/bronzeturn/logging"
	"github.com/bronzeturn/bronzeturn/membership"
	"github.com/bronzeturn/bronzeturn/peer"
	"github.com/bronzeturn/bronzeturn/relay"
)

// newRelay returns the relay, which connects to engines and plain services directly or through
// other daemons.
func newRelay(d *Daemon) *relay.Relay {
	return relay.New(relay.Options{
		Dial: d.options.Dial, Timeout: dialTimeout, DataCentre: d.settings.GetDataCentre(),
		Peers: d.fleet.relayPeers, Client: d.fleet.relayClient, Backends: d.compiler.relayBackends,
		Random: d.rand(randRelay), Log: logging.Part(d.log, "relay"), Registerer: d.options.Registry,
	})
}

// dialBackend opens a connection to an engine or a plain service. The clients that use it are
// created before the relay.
func (d *Daemon) dialBackend(ctx context.Context, network, address string) (net.Conn, error) {
	return d.relay.Dial(ctx, network, address)
}

// relayPeers returns the other live daemons.
func (f *fleet) relayPeers() (peers []relay.Peer) {
	view := f.members.View()
	for _, m := range view.Members {
		if m.State == membership.Live && m.Name != view.Self {
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

// relayBackends returns the engines and the plain services in the register that is in force. A
// daemon forwards connections to all of them, not only to those that it uses itself.
func (c *compiler) relayBackends() *relay.Backends {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.backends == nil {
		return relay.NewBackends(0)
	}
	return c.backends
}

// backendsOf returns the engines and the plain services in a register.
func backendsOf(register *bronzeturnv1.Register) *relay.Backends {
	backends := relay.NewBackends(len(register.GetEngines()))
	for _, e := range register.GetEngines() {
		backends.Add(e.GetAddress(), e.GetDataCentre())
	}
	for _, s := range register.GetServices() {
		for _, i := range s.GetInstances() {
			backends.Add(i.GetAddress(), i.GetDataCentre())
		}
	}
	return backends
}
