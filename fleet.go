package bronzeturn

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/bronzeturn/bronzeturn/bootstrap"
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/gossip"
	"github.com/bronzeturn/bronzeturn/ledger"
	"github.com/bronzeturn/bronzeturn/logging"
	"github.com/bronzeturn/bronzeturn/membership"
	"github.com/bronzeturn/bronzeturn/peer"
	"github.com/bronzeturn/bronzeturn/provider"
	"github.com/bronzeturn/bronzeturn/quarantine"
)

// Limits of the classes of the flooded table that membership does not define.
const (
	maxHeadBytes     = 64 << 10
	maxTableVersions = 512
	maxTableBytes    = 4 << 10
)

// holderCandidates is the number of daemons that may hold copies of this daemon's
// ledger records.
const holderCandidates = 4

// fleet holds the components that communicate with the other daemons.
type fleet struct {
	traffic   *peer.Traffic
	directory *peer.Directory
	members   *membership.Membership
	provider  *provider.Provider
	ledger    *ledger.Ledger
}

// newFleet builds the overlay, the configuration provider and the ledger.
func newFleet(d *Daemon) (*fleet, error) {
	f := &fleet{}
	var err error
	if f.traffic, err = peer.NewTraffic(d.options.Registry); err != nil {
		return nil, err
	}
	f.directory = peer.NewDirectory(peer.ResolverFunc(f.peerAddress), d.tls.peer, f.traffic)
	if f.members, err = membership.New(membershipOptions(d, f)); err != nil {
		return nil, err
	}
	if f.provider, err = newProvider(d, f); err != nil {
		return nil, err
	}
	f.ledger, err = ledger.New(ledgerConfig(d, f))
	return f, err
}

// peerAddress returns the peer address of a daemon. It must not be called before
// members is set.
func (f *fleet) peerAddress(name string) (string, bool) {
	return f.members.PeerAddress(name)
}

func membershipOptions(d *Daemon, f *fleet) membership.Options {
	return membership.Options{
		Self: membership.Self{
			Name:          d.settings.GetName(),
			DataCentre:    d.settings.GetDataCentre(),
			PeerAddress:   d.listeners.peerAddress,
			CallerAddress: d.listeners.callerAddress,
		},
		Seeds:    d.settings.GetSeeds(),
		Dialer:   &gossip.StreamDialer{Directory: f.directory},
		HostList: hostList{client: d.platform.hosts},
		Classes: []gossip.Class{
			{Prefix: "config/", MaxEntries: 1, MaxValueBytes: maxHeadBytes},
			{Prefix: "quality/", MaxEntries: maxTableVersions, MaxValueBytes: maxTableBytes},
			quarantine.TableClass(),
			{Prefix: "cutoff/", MaxEntries: maxTableVersions, MaxValueBytes: maxTableBytes},
		},
		Random:     d.rand(randMembership),
		Log:        d.log,
		Registerer: d.options.Registry,
	}
}

func ledgerConfig(d *Daemon, f *fleet) ledger.Config {
	return ledger.Config{
		Self:          d.settings.GetName(),
		Store:         d.platform.store,
		Owners:        owners{f.members},
		Dialer:        f.directory,
		Holders:       holders{members: f.members, self: d.settings.GetName(), dataCentre: d.settings.GetDataCentre()},
		Log:           d.log,
		Registerer:    d.options.Registry,
		Rand:          d.rand(randLedger),
		Shards:        uint32(d.settings.GetLedgerShards()),
		FleetWrites:   d.settings.GetLedgerFleetWrites(),
		Daemons:       func() int { return f.members.View().Live() },
		BatchDelay:    d.settings.GetLedgerBatchInterval().AsDuration(),
		BillPatience:  d.settings.GetBillPatience().AsDuration(),
		DecideTimeout: d.settings.GetClaimPatience().AsDuration(),
		StoreTimeout:  max(ledger.DefaultStoreTimeout, d.settings.GetClaimPatience().AsDuration()),
		BufferBytes:   int(d.settings.GetOutageBufferBytes()),
	}
}

// owners names the preferred writers of the ledger's shards.
type owners struct{ *membership.Membership }

// SecondOwner implements ledger.SecondOwners.
func (o owners) SecondOwner(key string) (name string, self bool) {
	view := o.View()
	top := view.Top(key, 2)
	if len(top) < 2 {
		return "", false
	}
	return top[1], top[1] == view.Self
}

// holders names the daemons that may hold the second copies of records, those in
// other data centres first.
type holders struct {
	members    *membership.Membership
	self       string
	dataCentre string
}

// Holders implements ledger.Holders.
func (h holders) Holders() []string {
	view := h.members.View()
	var remote, local []string
	for _, name := range view.Top("holders/"+h.self, view.Live()) {
		member, ok := view.Member(name)
		if !ok || name == h.self {
			continue
		}
		if member.DataCentre != h.dataCentre {
			remote = append(remote, name)
		} else {
			local = append(local, name)
		}
	}
	all := append(remote, local...)
	return all[:min(len(all), holderCandidates)]
}

// start joins the fleet and starts the components and their loops.
func (f *fleet) start(d *Daemon) {
	f.members.Start()
	f.ledger.Start()
	f.provider.Start()
	d.goLoop("news", f.exchangeConfirmations)
	d.goLoop("bootstrap", newRegistrar(d, f).Run)
	d.goLoop("collect", d.collectParts)
}

// newRegistrar returns the registrar, which registers this daemon in the store and
// finds others there.
func newRegistrar(d *Daemon, f *fleet) *bootstrap.Registrar {
	return bootstrap.New(bootstrap.Options{
		Store:       d.platform.store,
		Self:        &bronzeturnv1.Seed{Name: d.settings.GetName(), PeerAddress: d.listeners.peerAddress},
		OnAddresses: f.members.SetFoundSeeds,
		IsLive: func(name string) bool {
			member, ok := f.members.View().Member(name)
			return ok && member.State == membership.Live
		},
		Random: d.rand(randBootstrap),
		Log:    logging.Part(d.log, "bootstrap"),
	})
}

// stop leaves the fleet.
func (f *fleet) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = f.provider.Stop() // Nothing is lost: it has no state to save.
	_ = f.ledger.Stop()   // Daemon.flush has logged records that could not be written.
	_ = f.members.Stop(ctx)
	f.directory.Close()
}

// routerMembers is the part of membership that the router uses.
type routerMembers struct {
	members    *membership.Membership
	dataCentre string
	// maxKeep bounds how long callers may keep the addresses.
	maxKeep time.Duration
}

// Entries implements router.Members. Callers are assumed to be in the data centre
// of the daemon that they ask.
func (m routerMembers) Entries(rng *rand.Rand) ([]string, time.Duration) {
	addresses, keep := m.members.Entries(m.dataCentre, rng)
	return addresses, min(keep, m.maxKeep)
}

// BackendLeaving implements router.Members.
func (m routerMembers) BackendLeaving(host string) bool { return m.members.BackendLeaving(host) }
