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
)

// Keys of the flooded table that the entry daemon adds.
const (
	// newsPrefix holds the newest revision of each kind that any daemon has.
	newsPrefix = "news/"
	// readyPrefix holds the caller addresses of the daemons that take requests.
	readyPrefix = "ready/"
)

// Bounds of these entries.
const (
	maxNews         = 16
	maxDaemons      = 2048
	maxVerdicts     = 8192
	smallValue      = 128
	maxVerdictBytes = 1 << 10
	verdictTTL      = 2 * time.Minute
	removalTTL      = 10 * time.Minute
)

// fleet is what this daemon shares with the others.
type fleet struct {
	daemon    *Daemon
	directory *peer.Directory
	members   *membership.Membership
	server    *peer.Server
	listener  net.Listener

	mu     sync.Mutex
	random *rand.Rand
	// seeds are peer addresses from the settings and the store.
	seeds []string
	// silent are peer addresses that did not answer, or whose store does not, with
	// the time.
	silent map[string]time.Time
	// ready is the version of this daemon's entry of readiness.
	ready uint64
	// watchers tell which daemons watch the store.
	watchers *watchers
	// lastTree is the tree of one view of the fleet.
	lastTree atomic.Pointer[treePlace]
}

// newFleet builds the overlay.
func newFleet(d *Daemon) (*fleet, error) {
	f := &fleet{daemon: d, random: d.rand(randPeers), silent: make(map[string]time.Time), seeds: withoutSelf(d.Settings.Seeds, d.Settings.PeerListen)}
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
		Classes: []gossip.Class{
			{Prefix: newsPrefix, MaxEntries: maxNews, MaxValueBytes: smallValue},
			{Prefix: readyPrefix, MaxEntries: maxDaemons, MaxValueBytes: smallValue, RemovalTTL: removalTTL},
			{Prefix: turnedAwayPrefix, MaxEntries: maxDaemons, MaxValueBytes: smallValue, RemovalTTL: removalTTL},
			quarantine.TableClass(),
			{Prefix: canaryPrefix, MaxEntries: maxVerdicts, MaxValueBytes: maxVerdictBytes, TTL: verdictTTL},
		},
		Random: d.rand(randMembership), Log: d.log, Registerer: d.registry,
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

// withoutSelf returns the addresses but the daemon's own.
func withoutSelf(addresses []string, self string) []string {
	var others []string
	for _, a := range addresses {
		if a != self {
			others = append(others, a)
		}
	}
	return others
}

// handler serves what daemons ask each other.
func (f *fleet) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(gossip.NewHandler(f.members.Table()))
	mux.Handle(bronzeturnv1connect.NewFollowServiceHandler(pullServer{f.daemon}, peer.HandlerOptions()...))
	mux.Handle(bronzeturnv1connect.NewTallyServiceHandler(tallyServer{f.daemon}, peer.HandlerOptions()...))
	mux.Handle(bronzeturnv1connect.NewOccupancyServiceHandler(occupancy.Server{Book: f.daemon.book}, peer.HandlerOptions()...))
	return mux
}

// start joins the fleet.
func (f *fleet) start(d *Daemon) {
	f.server.Start()
	f.members.Start()
	f.members.Table().Subscribe(newsPrefix, f.heardNews)
	f.members.Table().Subscribe(turnedAwayPrefix, f.watchers.heard)
	f.members.Subscribe(func(*membership.View) { f.watchers.notifyChange() })
	f.members.Table().Subscribe(quarantine.TablePrefix, d.quarantine.ReceiveEntry)
	registrar := bootstrap.New(bootstrap.Options{
		Store: d.Store, Self: &bronzeturnv1.Seed{Name: d.Settings.Name, PeerAddress: d.Settings.PeerListen},
		OnAddresses: f.found,
		IsLive: func(name string) bool {
			member, ok := f.members.View().Member(name)
			return ok && member.State == membership.Live
		},
		SkipRegistration: f.spared, HasJoined: func() bool { return f.members.View().Live() > 1 },
		Random: d.rand(randBootstrap), Log: logging.Part(d.log, "bootstrap"),
	})
	d.goLoop("bootstrap", registrar.Run)
	d.goLoop("readiness", f.tellReadiness)
	d.goLoop("watchers", f.watchers.run)
}

// listedDaemons is how many daemons of a fleet register in the store, for those that
// the settings lead nowhere: with a few of them lost some are left.
const listedDaemons = 8

// spared tells whether other daemons of the fleet register in the store. All rank
// the daemons alike; where two parts of a fleet do not know each other, some of each
// read the list and find the other.
func (f *fleet) spared() bool {
	view := f.members.View()
	return view.Live() > listedDaemons && !slices.Contains(view.Top(bootstrap.Key, listedDaemons), view.Self)
}

// found takes in addresses of other daemons that the store lists.
func (f *fleet) found(addresses []string) {
	f.mu.Lock()
	f.seeds = append(withoutSelf(f.daemon.Settings.Seeds, f.daemon.Settings.PeerListen), withoutSelf(addresses, f.daemon.Settings.PeerListen)...)
	f.mu.Unlock()
	f.members.SetFoundSeeds(addresses)
}

// leave tells the others that this daemon stops.
func (f *fleet) leave() {
	f.publishReady()
	f.members.Leave()
}

// fleetStop bounds the wait for pending entries at a stop.
const fleetStop = 200 * time.Millisecond

// stop leaves the fleet.
func (f *fleet) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), fleetStop)
	defer cancel()
	if err := f.members.Stop(ctx); err != nil {
		f.daemon.log.Warn().Err(err).Msg("membership not stopped in order")
	}
	if err := f.server.Stop(ctx); err != nil {
		f.daemon.log.Debug().Err(err).Msg("peer listener closed with calls in progress")
	}
	f.directory.Close()
}

// publish puts an entry into the flooded table.
func (f *fleet) publish(key string, version uint64, value []byte) {
	if err := f.members.Table().Publish(key, version, value); err != nil {
		f.daemon.log.Warn().Err(err).Str("key", key).Msg("entry not published")
	}
}

// announce tells the others of the newest revision that the store gave.
func (f *fleet) announce(kind string, revision uint64) {
	if revision > 0 {
		f.publish(newsPrefix+kind, revision, []byte{1})
	}
}

// heardNews takes in the newest revision that any daemon has.
func (f *fleet) heardNews(key string, revision uint64, _ []byte) {
	if follower, ok := f.daemon.copies.of(strings.TrimPrefix(key, newsPrefix)); ok {
		follower.NotifyRevision(revision)
	}
}

// readyPoll is the time between two looks at the own readiness.
const readyPoll = 100 * time.Millisecond

// tellReadiness tells the others when this daemon begins to take requests.
func (f *fleet) tellReadiness(ctx context.Context) error {
	for backoff.Sleep(ctx, readyPoll) == nil {
		if f.daemon.Ready() != nil {
			continue
		}
		f.publishReady()
		f.daemon.log.Info().Dur("after_ms", time.Since(f.daemon.started)).Msg("daemon takes requests")
		return nil
	}
	return nil
}

// publishReady publishes the own readiness.
func (f *fleet) publishReady() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ready = max(f.ready+1, uint64(time.Now().UnixMilli()))
	if held, _, ok := f.members.Table().Get(readyPrefix + f.daemon.Settings.Name); ok {
		f.ready = max(f.ready, held+1)
	}
	var value []byte
	if f.daemon.Ready() == nil {
		value = []byte(f.daemon.Settings.CallerListen)
	}
	f.publish(readyPrefix+f.daemon.Settings.Name, f.ready, value)
}

// Live implements follow.Peers.
func (f *fleet) Live() int { return f.members.View().Live() }

// Watching implements follow.Peers.
func (f *fleet) Watching() bool {
	return time.Since(f.daemon.started) >= joinTime && f.SelectedToWatch()
}

// SelectedToWatch implements follow.Peers.
func (f *fleet) SelectedToWatch() bool { return f.watchers.includes(f.daemon.Settings.Name) }

// joinTime is how long a daemon that starts takes to learn of the others: half of 295
// daemons that started together knew the rest after 1.1 s. Until then it does not watch
// the store: with a few of them in sight, each of a large fleet would take it for its
// turn and make ten calls. It serves with the list that it reads first.
const joinTime = time.Second
