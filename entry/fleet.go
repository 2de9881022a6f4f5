package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bronzeturn/bronzeturn/backoff"
	"github.com/bronzeturn/bronzeturn/bootstrap"
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1/bronzeturnv1connect"
	"github.com/bronzeturn/bronzeturn/gossip"
	"github.com/bronzeturn/bronzeturn/logging"
	"github.com/bronzeturn/bronzeturn/membership"
	"github.com/bronzeturn/bronzeturn/occupancy"
	"github.com/bronzeturn/bronzeturn/peer"
	"github.com/bronzeturn/bronzeturn/quarantine"
	"github.com/bronzeturn/bronzeturn/revision"
)

// Key prefixes of entries in the gossip table.
const (
	// revisionPrefix is for the latest revision of each kind that any daemon has.
	revisionPrefix = "revisions/"
	// counterPrefix is for its counter, for daemons of an earlier version that know no eras.
	counterPrefix = "news/"
	// readyPrefix is for the caller addresses of the daemons that accept requests.
	readyPrefix = "ready/"
)

// Limits of the entries in the gossip table.
const (
	maxRevisionEntries = 16
	maxDaemonEntries   = 2048
	maxVerdictEntries  = 8192
	maxSmallValueBytes = 128
	maxVerdictBytes    = 1 << 10
	verdictTTL         = 2 * time.Minute
	removalTTL         = 10 * time.Minute
)

// fleet connects this daemon to the other daemons.
type fleet struct {
	daemon    *Daemon
	directory *peer.Directory
	members   *membership.Membership
	server    *peer.Server
	listener  net.Listener

	mu     sync.Mutex
	random *rand.Rand
	// seeds are the peer addresses from the settings and the store.
	seeds []string
	// failed maps the peer addresses of daemons that did not answer, or whose store does not
	// answer, to the time of the last failure.
	failed map[string]time.Time
	// readyVersion is the version of this daemon's readiness entry.
	readyVersion uint64
	// watchers determines which daemons watch the store.
	watchers *watchers
	// registrar registers this daemon in the store. It is set by start.
	registrar *bootstrap.Registrar
	// lastTree caches this daemon's place in the tree.
	lastTree atomic.Pointer[treePlace]
}

// newFleet creates the membership and the peer server, and opens the peer listener.
func newFleet(d *Daemon) (*fleet, error) {
	f := &fleet{daemon: d, random: d.rand(randPeers), failed: make(map[string]time.Time), seeds: withoutSelf(d.Settings.Seeds, d.Settings.PeerListen)}
	f.watchers = &watchers{fleet: f, wake: make(chan struct{}, 1)}
	traffic, err := peer.NewTraffic(d.registry)
	if err != nil {
		return nil, err
	}
	f.directory = peer.NewDirectory(peer.ResolverFunc(func(name string) (string, bool) { return f.members.PeerAddress(name) }), nil, traffic)
	f.members, err = membership.New(membership.Options{
		Self: membership.Self{
			Name: d.Settings.Name, DataCentre: d.Settings.DataCentre,
			PeerAddress: d.Settings.PeerListen, CallerAddress: d.Settings.CallerListen,
			Capacity: d.Settings.Capacity,
		},
		Seeds: f.seeds, Dialer: &gossip.StreamDialer{Directory: f.directory},
		Classes: f.tableClasses(),
		Random:  d.rand(randMembership), Log: d.log, Registerer: d.registry,
	})
	if err != nil {
		return nil, err
	}
	if f.listener, err = net.Listen("tcp", d.Settings.PeerListen); err != nil {
		return nil, &ListenError{Setting: "peers", Address: d.Settings.PeerListen, Cause: err}
	}
	f.server = peer.NewServer(f.listener, f.handler(), nil, traffic)
	f.server.SetErrorLog(d.errorLog("peers"))
	return f, nil
}

// tableClasses returns the classes of the entries in the gossip table.
func (f *fleet) tableClasses() []gossip.Class {
	return []gossip.Class{
		{Prefix: revisionPrefix, MaxEntries: maxRevisionEntries, MaxValueBytes: maxSmallValueBytes},
		{Prefix: inForcePrefix, MaxEntries: maxRevisionEntries, MaxValueBytes: maxSmallValueBytes},
		{Prefix: counterPrefix, MaxEntries: maxRevisionEntries, MaxValueBytes: maxSmallValueBytes},
		{Prefix: readyPrefix, MaxEntries: maxDaemonEntries, MaxValueBytes: maxSmallValueBytes, RemovalTTL: removalTTL},
		{Prefix: turnedAwayPrefix, MaxEntries: maxDaemonEntries, MaxValueBytes: maxSmallValueBytes, RemovalTTL: removalTTL},
		quarantine.TableClass(),
		{Prefix: leavingPrefix, MaxEntries: maxLeavingEntries, MaxValueBytes: maxSmallValueBytes, TTL: leavingTTL, RemovalTTL: leavingTTL},
		{Prefix: limitPrefix, MaxEntries: maxLimitEntries, MaxValueBytes: maxSmallValueBytes, TTL: limitTTL, RemovalTTL: limitTTL},
		{Prefix: brittlePrefix, MaxEntries: maxBrittleEntries, MaxValueBytes: maxSmallValueBytes, TTL: brittleTTL, RemovalTTL: brittleTTL},
		{Prefix: contendedPrefix, MaxEntries: maxContendedEntries, MaxValueBytes: maxSmallValueBytes, TTL: contendedTTL, RemovalTTL: contendedTTL},
		{Prefix: canaryPrefix, MaxEntries: maxVerdictEntries, MaxValueBytes: maxVerdictBytes, TTL: verdictTTL},
	}
}

// withoutSelf returns the addresses except the daemon's own.
func withoutSelf(addresses []string, self string) []string {
	var others []string
	for _, a := range addresses {
		if a != self {
			others = append(others, a)
		}
	}
	return others
}

// handler serves the calls of other daemons.
func (f *fleet) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(gossip.NewHandler(f.members.Table()))
	mux.Handle(bronzeturnv1connect.NewFollowServiceHandler(pullServer{f.daemon}, peer.HandlerOptions()...))
	mux.Handle(bronzeturnv1connect.NewTallyServiceHandler(tallyServer{f.daemon}, peer.HandlerOptions()...))
	mux.Handle(bronzeturnv1connect.NewOccupancyServiceHandler(occupancy.Server{
		Store: f.daemon.occupancyStore, MayGrant: func(engine string) bool { return f.daemon.shared.occupancy.MayGrant(engine) },
	}, peer.HandlerOptions()...))
	mux.Handle(bronzeturnv1connect.NewRelayServiceHandler(relayServer{f.daemon}, peer.HandlerOptions()...))
	mux.Handle(bronzeturnv1connect.NewDispatchServiceHandler(f.daemon.dispatcher, peer.HandlerOptions()...))
	return mux
}

// start joins the fleet.
func (f *fleet) start(d *Daemon) {
	f.server.Start()
	f.members.Start()
	f.members.Table().Subscribe(revisionPrefix, f.receiveRevision)
	f.members.Table().Subscribe(turnedAwayPrefix, f.watchers.turnedAwayChanged)
	f.members.Subscribe(func(*membership.View) { f.watchers.notifyChange() })
	f.members.Subscribe(d.shared.fleetChanged)
	f.members.Table().Subscribe(quarantine.TablePrefix, d.quarantine.ReceiveEntry)
	f.members.Table().Subscribe(limitPrefix, f.receiveLimit)
	f.members.Table().Subscribe(inForcePrefix, d.confirmed.receiveInForce)
	f.members.Table().Subscribe(brittlePrefix, f.receiveBrittle)
	f.members.Table().Subscribe(leavingPrefix, f.receiveLeaving)
	f.members.Table().Subscribe(contendedPrefix, f.receiveContended)
	f.registrar = bootstrap.New(bootstrap.Options{
		Store: d.Store, Self: &bronzeturnv1.Seed{Name: d.Settings.Name, PeerAddress: d.Settings.PeerListen},
		OnAddresses: f.addFoundSeeds,
		IsLive: func(name string) bool {
			member, ok := f.members.View().Member(name)
			return ok && member.State == membership.Live
		},
		SkipRegistration: f.othersRegister, HasJoined: func() bool { return f.members.View().Live() > 1 },
		Random: d.rand(randBootstrap), Log: logging.Part(d.log, "bootstrap"),
	})
	d.goLoop("bootstrap", f.registrar.Run)
	d.goLoop("readiness", f.publishWhenReady)
	d.goLoop("watchers", f.watchers.run)
}

// registeredDaemons is the number of daemons of a fleet that register in the store, for daemons
// that find none of their configured seeds. It allows for the loss of a few of them.
const registeredDaemons = 8

// othersRegister reports whether other daemons of the fleet register in the store, so that
// this one need not. All daemons compute the same ranking. If two parts of a fleet do not know
// each other, some daemons of each part read the list in the store and find the other part.
func (f *fleet) othersRegister() bool {
	view := f.members.View()
	return view.Live() > registeredDaemons && !slices.Contains(view.Top(bootstrap.Key, registeredDaemons), view.Self)
}

// addFoundSeeds adds the addresses of daemons that are registered in the store to the seeds,
// in place of those found before.
func (f *fleet) addFoundSeeds(addresses []string) {
	f.mu.Lock()
	f.seeds = append(withoutSelf(f.daemon.Settings.Seeds, f.daemon.Settings.PeerListen), withoutSelf(addresses, f.daemon.Settings.PeerListen)...)
	f.mu.Unlock()
	f.members.SetFoundSeeds(addresses)
}

// leave notifies the other daemons that this one stops.
func (f *fleet) leave() {
	f.publishReady()
	f.members.Leave()
}

// fleetStopTimeout limits how long a stop waits for pending table entries to be sent.
const fleetStopTimeout = 200 * time.Millisecond

// stop ends the membership and closes the peer listener.
func (f *fleet) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), fleetStopTimeout)
	defer cancel()
	if err := f.members.Stop(ctx); err != nil {
		f.daemon.log.Warn().Err(err).Msg("membership did not stop cleanly")
	}
	if err := f.server.Stop(ctx); err != nil {
		f.daemon.log.Debug().Err(err).Msg("peer listener closed with calls in progress")
	}
	f.directory.Close()
}

// publish adds an entry to the gossip table or replaces it.
func (f *fleet) publish(key string, version uint64, value []byte) {
	if err := f.members.Table().Publish(key, version, value); err != nil {
		f.daemon.log.Warn().Err(err).Str("key", key).Msg("entry not published")
	}
}

// announce publishes the latest revision of a kind that the store has returned.
func (f *fleet) announce(kind string, at uint64) {
	if at > 0 {
		f.publish(revisionPrefix+kind, at, []byte{1})
		f.publish(counterPrefix+kind, revision.Counter(at), []byte{1})
	}
}

// receiveRevision passes the latest revision that any daemon has to the follower of its kind.
func (f *fleet) receiveRevision(key string, revision uint64, _ []byte) {
	if follower, ok := f.daemon.copies.of(strings.TrimPrefix(key, revisionPrefix)); ok {
		follower.NotifyRevision(revision)
	}
}

// readyPollInterval is the interval between checks of this daemon's readiness.
const readyPollInterval = 100 * time.Millisecond

// publishWhenReady waits until this daemon accepts requests, and publishes its readiness.
func (f *fleet) publishWhenReady(ctx context.Context) error {
	for backoff.Sleep(ctx, readyPollInterval) == nil {
		if f.daemon.Ready() != nil {
			continue
		}
		f.publishReady()
		f.daemon.log.Info().Dur("after_ms", time.Since(f.daemon.started)).Msg("daemon takes requests")
		return nil
	}
	return nil
}

// publishReady publishes whether this daemon accepts requests. The version of the entry exceeds
// that of an entry left by an earlier process of the same name.
func (f *fleet) publishReady() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.readyVersion = max(f.readyVersion+1, uint64(time.Now().UnixMilli()))
	if current, _, ok := f.members.Table().Get(readyPrefix + f.daemon.Settings.Name); ok {
		f.readyVersion = max(f.readyVersion, current+1)
	}
	var value []byte
	if f.daemon.Ready() == nil {
		value = []byte(f.daemon.Settings.CallerListen)
	}
	f.publish(readyPrefix+f.daemon.Settings.Name, f.readyVersion, value)
}

// Live implements follow.Peers.
func (f *fleet) Live() int { return f.members.View().Live() }

// Watching implements follow.Peers.
func (f *fleet) Watching() bool {
	return time.Since(f.daemon.started) >= joinTime && f.SelectedToWatch()
}

// SelectedToWatch implements follow.Peers.
func (f *fleet) SelectedToWatch() bool { return f.watchers.includes(f.daemon.Settings.Name) }

// joinTime is the time after the start in which a daemon does not watch the store. It is about
// the time to learn of the other daemons: when 295 daemons started together, half of them knew
// all others after 1.1 s. A daemon of a large fleet that knows only a few others would consider
// itself selected to watch, and make ten calls to the store. In the meantime, the daemon serves
// requests with the objects that it listed first.
const joinTime = time.Second
