package quarantine

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/bronzeturn/bronzeturn/inventory"
)

const (
	// cutMemory is how long after an answer broke off its engine may still be found to
	// have ended then: about as long as the news of its next start take.
	cutMemory = 5 * time.Second
	// endMemory is how long an engine that ended is remembered, for answers that break off
	// later than others.
	endMemory = time.Minute
	// secondDial is the time to a second connection attempt: a process that dies may take
	// connections for some milliseconds after it has cut the first ones.
	secondDial = 150 * time.Millisecond
	// probePause is the least time between the ends of two probes of one engine, of which
	// some faulty ones cut many answers.
	probePause = 500 * time.Millisecond
	// dialTimeout bounds one attempt. No answer tells nothing.
	dialTimeout = 350 * time.Millisecond
	// gatherFor is the time in which answers that one end cuts are put together.
	gatherFor = 5 * time.Millisecond
	// mostCuts bounds the engines remembered.
	mostCuts = 4096
)

// Cause tells how the end of an engine was found.
type Cause string

// The causes.
const (
	// CauseRefused is a new connection that the engine's host refused.
	CauseRefused Cause = "connection_refused"
	// CauseReplaced is another start that answers or registers at its address.
	CauseReplaced Cause = "replaced"
	// CauseTold is another daemon that found it.
	CauseTold Cause = "told"
)

// End is an engine that ended, with the requests of this daemon that it cut.
type End struct {
	Engine   inventory.Engine
	Requests []Hash
	At       time.Time
	Cause    Cause
	// Blames count the broken answers against the engine's version.
	Blames []func()
}

// DetectorOptions are what a Detector needs. All fields are required.
type DetectorOptions struct {
	// Dial opens a connection to an address and closes it. It returns an error that is
	// syscall.ECONNREFUSED when nobody listens there.
	Dial func(ctx context.Context, address string) error
	// Ended hears of each end, and once more when further requests turn out to be cut by it.
	Ended func(End)
	Log   zerolog.Logger
}

// Detector tells engines that ended from connections that broke: both cut answers. It is
// safe for concurrent use.
type Detector struct {
	DetectorOptions

	mu   sync.Mutex
	cuts map[string]*cut
}

// cut is what is known of an engine whose answers broke off.
type cut struct {
	engine inventory.Engine
	// requests are those not told yet, with the time at which they were cut.
	requests map[Hash]time.Time
	first    time.Time
	last     time.Time
	probing  bool
	// probed is the end of the last probe.
	probed time.Time
	// blames count the broken answers against the engine's version, once it is known what
	// broke them.
	blames []func()
	// decided is closed when it is known whether the engine ended, isDecided tells so.
	decided   chan struct{}
	isDecided bool
	// cause is empty until the engine is known to have ended.
	cause Cause
	// telling is set while a call is about to be made.
	telling bool
}

// NewDetector returns a Detector.
func NewDetector(o DetectorOptions) *Detector {
	return &Detector{DetectorOptions: o, cuts: make(map[string]*cut)}
}

// Broke takes in that an answer broke off. It calls blame, or passes it on with the end of
// the engine.
func (d *Detector) Broke(e inventory.Engine, h Hash, now time.Time, blame func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.of(e, now)
	c.requests[h] = now
	c.last = now
	c.blames = append(c.blames, blame)
	c.reopen()
	if c.cause != "" {
		d.tellSoon(c)
		return
	}
	if !c.probing {
		c.probing = true
		time.AfterFunc(max(probePause-now.Sub(c.probed), 0), func() { d.probe(c) })
	}
}

// Refused takes in that a new connection was refused. That alone is no end: the engine
// may have stopped in order.
func (d *Detector) Refused(engine string, now time.Time) { d.ended(engine, CauseRefused, now) }

// Replaced takes in that another start answers or registers at the engine's address.
func (d *Detector) Replaced(engine string, now time.Time) { d.ended(engine, CauseReplaced, now) }

// Registered records the registration of an engine: other starts at its address with recent
// interrupted answers have ended.
func (d *Detector) Registered(e inventory.Engine, now time.Time) {
	if e.Address == "" {
		return
	}
	key := e.Key()
	d.mu.Lock()
	var replaced []string
	for known, c := range d.cuts {
		if c.engine.Address == e.Address && known != key {
			replaced = append(replaced, known)
		}
	}
	d.mu.Unlock()
	for _, known := range replaced {
		d.Replaced(known, now)
	}
}

// Told takes in that another daemon found the end of an engine.
func (d *Detector) Told(e inventory.Engine, now time.Time) {
	d.mu.Lock()
	c := d.of(e, now)
	c.last = now
	d.mu.Unlock()
	d.ended(e.Key(), CauseTold, now)
}

// ended notes the end of an engine that cut answers of late.
func (d *Detector) ended(engine string, cause Cause, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.cuts[engine]
	if c == nil || c.cause != "" || now.Sub(c.last) > cutMemory {
		return
	}
	c.cause = cause
	maps.DeleteFunc(c.requests, func(_ Hash, at time.Time) bool { return now.Sub(at) > cutMemory })
	d.tellSoon(c)
}

// of returns what is known of an engine. The caller holds mu.
func (d *Detector) of(e inventory.Engine, now time.Time) *cut {
	c := d.cuts[e.Key()]
	if c == nil {
		d.forget(now)
		c = &cut{engine: e, requests: make(map[Hash]time.Time), first: now, decided: make(chan struct{})}
		d.cuts[e.Key()] = c
	}
	return c
}

// forget drops what is old, and anything when there is too much. The caller holds mu.
func (d *Detector) forget(now time.Time) {
	maps.DeleteFunc(d.cuts, func(_ string, c *cut) bool { return now.Sub(c.last) > endMemory })
	for key := range d.cuts {
		if len(d.cuts) < mostCuts {
			return
		}
		delete(d.cuts, key)
	}
}

// probe finds out whether an engine whose answer broke off still takes connections.
func (d *Detector) probe(c *cut) {
	var err error
	for _, pause := range []time.Duration{0, secondDial} {
		time.Sleep(pause)
		ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
		err = d.Dial(ctx, c.engine.Address)
		cancel()
		if errors.Is(err, syscall.ECONNREFUSED) {
			d.Refused(c.engine.Key(), time.Now())
			return
		}
		d.mu.Lock()
		c.decide() // It lives, as far as requests can wait to know.
		d.mu.Unlock()
		if err != nil {
			break // Nothing answers; a second attempt would take as long.
		}
	}
	d.spared(c, err)
}

// spared takes in that an engine whose answers broke off does not refuse connections.
func (d *Detector) spared(c *cut, dialled error) {
	d.mu.Lock()
	c.probing, c.probed = false, time.Now()
	if c.cause != "" {
		d.mu.Unlock()
		return
	}
	d.Log.Info().Str("engine", c.engine.Key()).Int("requests", len(c.requests)).AnErr("connection", dialled).Msg("engine cut answers and did not end")
	blames := c.blames
	c.blames = nil
	d.mu.Unlock()
	for _, blame := range blames {
		blame()
	}
}

// Wait waits until it is known whether an engine whose answer broke off has ended, or ctx
// ends.
func (d *Detector) Wait(ctx context.Context, engine string) {
	d.mu.Lock()
	c := d.cuts[engine]
	if c == nil {
		d.mu.Unlock()
		return
	}
	decided := c.decided
	d.mu.Unlock()
	select {
	case <-decided:
	case <-ctx.Done():
	}
}

// tellSoon tells of an end once the answers that it cut are together. The caller holds mu.
func (d *Detector) tellSoon(c *cut) {
	if c.telling || len(c.requests) == 0 {
		return
	}
	c.telling = true
	time.AfterFunc(gatherFor, func() { d.tell(c) })
}

// tell passes the requests on that were cut.
func (d *Detector) tell(c *cut) {
	d.mu.Lock()
	requests := slices.Collect(maps.Keys(c.requests))
	clear(c.requests)
	c.telling = false
	end := End{Engine: c.engine, Requests: requests, At: c.first, Cause: c.cause, Blames: c.blames}
	c.blames = nil
	d.mu.Unlock()
	slices.SortFunc(requests, func(a, b Hash) int { return slices.Compare(a[:], b[:]) })
	d.Log.Warn().Str("engine", end.Engine.Key()).Str("address", end.Engine.Address).Str("version", end.Engine.Version).
		Str("cause", string(end.Cause)).Dur("after_ms", time.Since(end.At)).Strs("hashes", Strings(requests)).
		Msg("engine ended")
	d.Ended(end)
	d.mu.Lock()
	defer d.mu.Unlock()
	c.decide()
}

// decide wakes those who wait. The caller holds the lock of the detector.
func (c *cut) decide() {
	if !c.isDecided {
		c.isDecided = true
		close(c.decided)
	}
}

// reopen makes those wait who come from now on. The caller holds the lock of the detector.
func (c *cut) reopen() {
	if c.isDecided {
		c.isDecided = false
		c.decided = make(chan struct{})
	}
}
