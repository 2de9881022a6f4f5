package entry

import (
	"context"
	"encoding/binary"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/bronzeturn/bronzeturn/backoff"
	"github.com/bronzeturn/bronzeturn/balance"
	"github.com/bronzeturn/bronzeturn/gateway"
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// loadPrefix begins the table keys of the daemons' work at engines.
const loadPrefix = "load/"

const (
	// loadInterval is the least time between two summaries of a daemon, and
	// loadPerDaemon what each daemon of the fleet adds to it, so that the bytes
	// that a daemon passes on stay within bounds.
	loadInterval  = 200 * time.Millisecond
	loadPerDaemon = 2 * time.Millisecond
	// sumInterval is the time between two sums of what all daemons told.
	sumInterval = 100 * time.Millisecond
)

// delayPrefix begins the table keys of engines that began an answer late.
const delayPrefix = "delay/"

const (
	// delayTTL is how long a delay counts; it fades to nothing by then.
	delayTTL = 2 * time.Second
	// delayPause is the least time between two reports of one engine by a daemon.
	delayPause = 500 * time.Millisecond
)

// loads are the other daemons' summaries, and the delays that any daemon saw.
type loads struct {
	mu      sync.Mutex
	byOwner map[string]*bronzeturnv1.LoadSummary
	delays  map[uint32]delay
}

// delay is how late an engine began an answer.
type delay struct {
	by time.Duration
	at time.Time
}

// left returns what still counts of the delay.
func (d delay) left(now time.Time) time.Duration {
	age := now.Sub(d.at)
	if age >= delayTTL {
		return 0
	}
	return time.Duration(float64(d.by) * (1 - age.Seconds()/delayTTL.Seconds()))
}

func newLoads() *loads {
	return &loads{byOwner: make(map[string]*bronzeturnv1.LoadSummary), delays: make(map[uint32]delay)}
}

// delayed takes in a delay of an engine, and tells whether it is worth telling:
// not much less than what is known already.
func (l *loads) delayed(engine uint32, by time.Duration, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.delays[engine]
	if now.Sub(known.at) < delayPause && by < 2*known.by {
		return false
	}
	l.delays[engine] = delay{by: by, at: now}
	return true
}

// engineHash names an engine in a summary.
func engineHash(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// exchangeLoad tells the other daemons of the work in progress and the balancer
// of theirs, until ctx ends.
func (d *Daemon) exchangeLoad(ctx context.Context) error {
	others := d.loads
	d.fleet.members.Table().Subscribe(delayPrefix, d.heardDelay)
	d.fleet.members.Table().Subscribe(loadPrefix, func(key string, _ uint64, value []byte) { others.heard(d, key, value) })
	version := uint64(time.Now().UnixMilli()) << 12
	empty := false
	var told time.Time
	for {
		if backoff.Sleep(ctx, sumInterval) != nil {
			return nil
		}
		d.reportLoad()
		if time.Since(told) < loadInterval+time.Duration(d.fleet.Live())*loadPerDaemon {
			continue
		}
		told = time.Now()
		own := d.ownLoad()
		if len(own.GetEngines()) > 0 || !empty {
			version++
			d.publishLoad(version, own)
		}
		empty = len(own.GetEngines()) == 0
	}
}

// ownLoad sums up this daemon's work in progress.
func (d *Daemon) ownLoad() *bronzeturnv1.LoadSummary {
	own := &bronzeturnv1.LoadSummary{}
	d.balancer.InFlight(func(engine string, requests, tokens int64) {
		own.Engines = append(own.Engines, &bronzeturnv1.EngineLoad{
			Engine: engineHash(engine), Requests: uint32(requests), Tokens: uint32(tokens),
		})
	})
	return own
}

// publishLoad floods the summary.
func (d *Daemon) publishLoad(version uint64, own *bronzeturnv1.LoadSummary) {
	data, err := proto.Marshal(own)
	if err != nil {
		d.log.Error().Err(err).Msg("summary of work not encoded")
		return
	}
	d.fleet.publish(loadPrefix+d.Settings.Name, version, data)
}

// heard takes in another daemon's summary, or that it has expired.
func (l *loads) heard(d *Daemon, key string, value []byte) {
	owner := strings.TrimPrefix(key, loadPrefix)
	if owner == d.Settings.Name {
		return
	}
	var m bronzeturnv1.LoadSummary
	if err := proto.Unmarshal(value, &m); err != nil {
		d.log.Warn().Err(err).Str("key", key).Msg("summary of a daemon not read")
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(m.GetEngines()) == 0 {
		delete(l.byOwner, owner)
		return
	}
	l.byOwner[owner] = &m
}

// work is what daemons have in progress at one engine.
type work struct{ requests, tokens int64 }

// sum adds up the other daemons' work by engine, and what delays tell of it.
func (l *loads) sum() map[uint32]work {
	l.mu.Lock()
	defer l.mu.Unlock()
	sums := make(map[uint32]work)
	now := time.Now()
	for engine, late := range l.delays {
		left := late.left(now)
		if left <= 0 {
			delete(l.delays, engine)
			continue
		}
		sums[engine] = work{tokens: gateway.WorkOf(left)}
	}
	for _, m := range l.byOwner {
		addLoad(sums, m)
	}
	return sums
}

// fleetLoad adds up the work of all daemons by engine.
func (d *Daemon) fleetLoad() map[uint32]work {
	sums := d.loads.sum()
	addLoad(sums, d.ownLoad())
	return sums
}

// addLoad adds one summary.
func addLoad(sums map[uint32]work, m *bronzeturnv1.LoadSummary) {
	for _, e := range m.GetEngines() {
		w := sums[e.GetEngine()]
		sums[e.GetEngine()] = work{w.requests + int64(e.GetRequests()), w.tokens + int64(e.GetTokens())}
	}
}

// reportLoad tells the balancer of the work of all daemons.
func (d *Daemon) reportLoad() {
	sums := d.fleetLoad()
	now := time.Now()
	for _, engine := range d.engines.View().Engines {
		w := sums[engineHash(engine.ID)]
		d.balancer.LoadReported(balance.LoadReported{Engine: engine.ID, Requests: w.requests, Tokens: w.tokens, AsOf: now})
	}
}

// engineDelayed tells the other daemons that an engine began an answer late: it
// has more work than the summaries say.
func (d *Daemon) engineDelayed(engineID string, by time.Duration) {
	now := time.Now()
	engine := engineHash(engineID)
	if !d.loads.delayed(engine, by, now) {
		return
	}
	key := delayPrefix + strconv.FormatUint(uint64(engine), 16)
	d.fleet.publish(key, uint64(max(now.UnixMilli(), 1)), binary.AppendUvarint(nil, uint64(by.Milliseconds())))
}

// heardDelay takes in a delay that another daemon saw.
func (d *Daemon) heardDelay(key string, _ uint64, value []byte) {
	engine, err := strconv.ParseUint(strings.TrimPrefix(key, delayPrefix), 16, 32)
	ms, n := binary.Uvarint(value)
	if err != nil || n <= 0 {
		return // Expired, or not for this version of the program.
	}
	d.loads.delayed(uint32(engine), time.Duration(ms)*time.Millisecond, time.Now())
}
