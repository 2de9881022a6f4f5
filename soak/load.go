package soak

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/bronzeturn/bronzeturn/platform/emulator"
)

const (
	// loadEvery selects the seeds with a load phase: its multiples.
	loadEvery = 4
	// loadDuration is how long callers arrive in the load phase, loadDeadline the time after
	// which they disconnect.
	loadDuration = 4 * time.Second
	loadDeadline = 1500 * time.Millisecond
	// loadSlots, loadQueue and loadWork are the slots, the places in the queue and the time of
	// a request of each engine of the plain service in runs with a load phase.
	loadSlots = 4
	loadQueue = 12
	loadWork  = 100 * time.Millisecond
	// bigShare and smallShare are the rates of the organisation that sends many times its
	// share and of each other one, relative to the capacity of the plain service.
	bigShare   = 2.5
	smallShare = 0.1
	// smallOrganisations is the number of the others.
	smallOrganisations = 5
	// minAnswered is the share of the engines' runs that must reach their caller.
	minAnswered = 0.95
)

// hasLoadPhase reports whether the run ends with a load phase.
func (o Options) hasLoadPhase() bool { return o.Seed%loadEvery == 0 }

// bounds returns the bounds in the settings of the daemons.
func (o Options) bounds() emulator.Bounds {
	b := bounds
	if o.hasLoadPhase() {
		b.Contracts = []string{emulator.ContractPressure}
	}
	return b
}

// loadOrganisation returns the name of an organisation of the load phase. The first one sends many
// times its share.
func loadOrganisation(number int) string { return fmt.Sprintf("load-org-%d", number) }

// loadKey returns the key of an organisation of the load phase.
func loadKey(number int) string { return fmt.Sprintf("load-key-%d", number) }

// config returns the configuration in force.
func (r *run) config() emulator.ConfigDoc {
	doc := emulator.Config(r.configVersion)
	if !r.hasLoadPhase() {
		return doc
	}
	for i := range 1 + smallOrganisations {
		doc.Tenants = append(doc.Tenants, emulator.TenantDoc{Name: loadOrganisation(i), APIKeys: []string{loadKey(i)}})
	}
	return doc
}

// loadPhase sends requests of several organisations to the plain service, one of which asks for
// more than its engines can run, and checks the answers and the runs. The faults must have ended.
func (c *checks) loadPhase() {
	if !c.run.hasLoadPhase() {
		return
	}
	time.Sleep(settleTime)
	capacity := float64(c.run.PlainServices*loadSlots) / loadWork.Seconds()
	connections := &http.Transport{MaxIdleConnsPerHost: int(capacity * bigShare)}
	defer connections.CloseIdleConnections()
	l := &loadResult{statuses: make(map[string]int)}
	var all sync.WaitGroup
	for i := range 1 + smallOrganisations {
		share := smallShare
		if i == 0 {
			share = bigShare
		}
		all.Go(func() { c.sendLoad(l, connections, i, share*capacity) })
	}
	all.Wait()
	for _, violation := range l.violations(c.run.record.Runs("")) {
		c.reportViolation("load phase: %s", violation)
	}
	_, _ = fmt.Fprintf(c.run.FaultLog, "%8.3f load phase: %v\n", time.Since(c.run.started).Seconds(), l)
}

// sendLoad has callers of an organisation arrive at a rate per second, independently of each other.
func (c *checks) sendLoad(l *loadResult, connections http.RoundTripper, organisation int, rate float64) {
	random := rand.New(rand.NewPCG(c.run.Seed, uint64(organisation)))
	var callers sync.WaitGroup
	defer callers.Wait()
	started := time.Now()
	at := time.Duration(0)
	for n := 0; ; n++ {
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if at >= loadDuration {
			return
		}
		d, target := c.run.daemons[random.IntN(len(c.run.daemons))], targets[n%2]
		time.Sleep(time.Until(started.Add(at)))
		callers.Go(func() { c.sendLoadRequest(l, connections, d, target, organisation, n) })
	}
}

// sendLoadRequest sends one request of the load phase. Its body is as long as that of other
// requests, and differs from those of the organisation's other callers.
func (c *checks) sendLoadRequest(l *loadResult, connections http.RoundTripper, d *daemon, target string, organisation, number int) {
	id := c.newID(d)
	ctx, cancel := context.WithTimeout(context.Background(), loadDeadline)
	defer cancel()
	req, err := c.request(ctx, d, id, target, fmt.Sprintf("%04x", number&0xffff))
	if err != nil {
		return
	}
	req.Header.Set("Authorization", "Bearer "+loadKey(organisation))
	req.Header.Set(emulator.DeadlineHeader, strconv.FormatInt(loadDeadline.Milliseconds(), 10))
	atMostOnce := strings.HasPrefix(target, "/once")
	if atMostOnce {
		c.recordAtMostOnce(id)
	}
	resp, err := connections.RoundTrip(req)
	if err != nil {
		c.count(&c.failed)
		l.add(id, 0)
		return
	}
	defer func() { _ = resp.Body.Close() }() // An error changes nothing once the body is read or reading it has failed.
	body, err := io.ReadAll(resp.Body)
	c.checkAnswer(id, target, atMostOnce, resp.StatusCode, string(body), err)
	if err != nil {
		l.add(id, 0)
		return
	}
	l.add(id, resp.StatusCode)
}

// loadResult holds the answers of a load phase.
type loadResult struct {
	mu sync.Mutex
	// statuses are the statuses of the answers by request id, 0 for none.
	statuses map[string]int
	// runs counts the engines' runs, answered those whose answer reached the caller.
	runs, answered int
}

func (l *loadResult) add(id string, status int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.statuses[id] = status
}

// violations checks the answers against the engines' runs: lack of capacity causes no status 502,
// nearly all runs reach their caller, and what is refused has not run.
func (l *loadResult) violations(runs []emulator.Run) (found []string) {
	completed := make(map[string]bool)
	refused := make(map[string]bool)
	for _, run := range runs {
		status, known := l.statuses[run.RequestID]
		if !known {
			continue
		}
		l.runs++
		if status == http.StatusOK && !run.Aborted && !completed[run.RequestID] {
			completed[run.RequestID] = true
			l.answered++
		}
		if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
			refused[run.RequestID] = true
		}
	}
	if n := l.count(http.StatusBadGateway); n > 0 {
		found = append(found, fmt.Sprintf("%d responses with status 502", n))
	}
	if float64(l.answered) < minAnswered*float64(l.runs) {
		found = append(found, fmt.Sprintf("%d of %d runs reached their caller, at least %v must", l.answered, l.runs, minAnswered))
	}
	if len(refused) > 0 {
		found = append(found, fmt.Sprintf("%d requests were answered as not run, but ran", len(refused)))
	}
	return found
}

// count returns the number of answers with a status.
func (l *loadResult) count(status int) (n int) {
	for _, s := range l.statuses {
		if s == status {
			n++
		}
	}
	return n
}

// String returns the counts in the form of a log line.
func (l *loadResult) String() string {
	byStatus := make(map[int]int)
	for _, s := range l.statuses {
		byStatus[s]++
	}
	var counts []string
	for _, s := range slices.Sorted(maps.Keys(byStatus)) {
		counts = append(counts, fmt.Sprintf("%d: %d", s, byStatus[s]))
	}
	return fmt.Sprintf("asked %d, by status {%s}, runs %d, reached their caller %d", len(l.statuses), strings.Join(counts, ", "), l.runs, l.answered)
}
