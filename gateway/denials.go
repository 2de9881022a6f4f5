package gateway

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// manyDenials is how many engines of a service in one data centre, one after the
	// other, must answer under another instance before the rest of them are doubted.
	manyDenials = 2
	// doubtFor is how long they are doubted without a further denial: about as long as a
	// list that the store can give takes to come.
	doubtFor = time.Second
)

// place names the engines of one service in one data centre.
type place struct{ service, dataCentre string }

// denials remember where engines answered under other instances than the list of engines
// says. When the engines of a data centre start again together while the store is silent,
// nobody can learn of it but by being denied: what some of them say then holds for the
// rest, and requests go elsewhere instead of asking one after the other.
type denials struct {
	// any tells that there are some, so that a choice without them takes no lock.
	any atomic.Bool

	mu      sync.Mutex
	byPlace map[place]denial
}

// denial is how many engines denied in a row, and when the last one did.
type denial struct {
	engines int
	at      time.Time
}

func newDenials() *denials { return &denials{byPlace: make(map[place]denial)} }

// denied takes in a denial and reports whether the place is doubted from now on.
func (d *denials) denied(p place, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.any.Store(true)
	engines := d.byPlace[p].engines + 1
	d.byPlace[p] = denial{engines: engines, at: now}
	return engines == manyDenials
}

// kept takes in that an engine answered as the instance that was meant.
func (d *denials) kept(p place) {
	if !d.any.Load() {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.byPlace, p)
	d.any.Store(len(d.byPlace) > 0)
}

// doubted tells whether engines should be left aside while there are others.
func (d *denials) doubted(p place, now time.Time) bool {
	if !d.any.Load() {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	known := d.byPlace[p]
	return known.engines >= manyDenials && now.Sub(known.at) < doubtFor
}
