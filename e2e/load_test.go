package e2e

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/bronzeturn/bronzeturn/platform/emulator"
)

// loadSeed is the seed of all arrival times and choices of daemons.
const loadSeed = 15

// loadSource is an organisation whose callers arrive independently of each other and of the
// answers: a Poisson process, given its number of arrivals, so that the demand is exactly the
// stated one.
type loadSource struct {
	organisation string
	// perSecond is the mean rate of new callers.
	perSecond float64
	// daemons are the daemons that a caller picks from. One that is listed repeatedly is
	// picked more often.
	daemons []int
}

// loadSpec describes a load.
type loadSpec struct {
	sources []loadSource
	length  time.Duration
	// deadline is the time after its arrival at which a caller disconnects.
	deadline time.Duration
	// returns is how often a refused caller returns at the time it was given, if that is
	// before its deadline.
	returns int
}

// loadTry is one request of a caller, as the caller saw it.
type loadTry struct {
	id, organisation string
	daemon, number   int
	// asked is the time of the caller's arrival or return, took the time until the end of the
	// answer.
	asked time.Time
	took  time.Duration
	// status is 0 if there was no complete answer, deadline whether the caller disconnected.
	status     int
	deadline   bool
	retryAfter time.Duration
	// appointed is set if the caller returns at a time that lies within appointmentShare of
	// the time it had left when it was refused.
	appointed bool
}

// appointmentShare is the part of a caller's remaining time within which appointments lie. A later
// Retry-After is no appointment.
const appointmentShare = 1.0 / 3

// loadRun is a load in progress.
type loadRun struct {
	loadSpec
	fleet       *entryFleet
	connections *http.Transport
	started     time.Time

	mu    sync.Mutex
	tries []loadTry
}

// idleConnections is the number of connections to each daemon that are kept for later callers.
const idleConnections = 1000

// runLoad sends a load to the fleet and returns when the last caller has its answer or has
// disconnected.
func (f *entryFleet) runLoad(spec loadSpec) *loadRun {
	l := &loadRun{loadSpec: spec, fleet: f, connections: &http.Transport{MaxIdleConnsPerHost: idleConnections}, started: time.Now()}
	defer l.connections.CloseIdleConnections()
	var all sync.WaitGroup
	for i, source := range spec.sources {
		all.Go(func() { l.runSource(i, source) })
	}
	all.Wait()
	return l
}

// runSource starts the callers of a source at their times.
func (l *loadRun) runSource(number int, source loadSource) {
	random := rand.New(rand.NewPCG(loadSeed, uint64(number)))
	var callers sync.WaitGroup
	defer callers.Wait()
	for n, at := range source.arrivals(random, l.length) {
		c := caller{
			load: l, source: source, name: fmt.Sprintf("load-%d-%d", number, n),
			random: rand.New(rand.NewPCG(random.Uint64(), random.Uint64())),
		}
		time.Sleep(time.Until(l.started.Add(at)))
		callers.Go(c.run)
	}
}

// arrivals returns the times since the start of a load of a length at which callers arrive.
func (s loadSource) arrivals(random *rand.Rand, length time.Duration) []time.Duration {
	times := make([]time.Duration, int(math.Round(s.perSecond*length.Seconds())))
	for i := range times {
		times[i] = time.Duration(random.Float64() * float64(length))
	}
	slices.Sort(times)
	return times
}

// caller is one caller of a load.
type caller struct {
	load   *loadRun
	source loadSource
	name   string
	random *rand.Rand
	sends  int
}

// run sends the caller's request, and again when it returns.
func (c *caller) run() {
	end := time.Now().Add(c.load.deadline)
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	appointed := false
	for number := 0; number <= c.load.returns; number++ {
		t := loadTry{
			organisation: c.source.organisation, daemon: c.source.daemons[c.random.IntN(len(c.source.daemons))],
			number: number, asked: time.Now(), appointed: appointed,
		}
		c.try(ctx, &t)
		c.load.add(t)
		if !t.refused() || t.retryAfter <= 0 || time.Until(end) <= t.retryAfter {
			return
		}
		appointed = t.retryAfter <= time.Duration(appointmentShare*float64(end.Sub(t.asked)))
		time.Sleep(t.retryAfter)
	}
}

// refused reports whether the answer states that the request has not run.
func (t *loadTry) refused() bool {
	return t.status == http.StatusServiceUnavailable || t.status == http.StatusTooManyRequests
}

func (l *loadRun) add(t loadTry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tries = append(l.tries, t)
}

// try sends the request. If the connection fails, because the daemon has died, it sends it to the
// next daemon, as callers do.
func (c *caller) try(ctx context.Context, t *loadTry) {
	for range c.load.fleet.daemons {
		c.sends++
		t.id = fmt.Sprintf("%s-%d", c.name, c.sends)
		err := c.send(ctx, t)
		t.took = time.Since(t.asked)
		t.deadline = err != nil && ctx.Err() != nil
		if err == nil || t.deadline {
			return
		}
		t.daemon = (t.daemon + 1) % len(c.load.fleet.daemons)
	}
}

// send sends the request once. An answer that is cut off or of another request is an error.
func (c *caller) send(ctx context.Context, t *loadTry) error {
	body := "body of " + c.name
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.load.fleet.daemons[t.daemon].Front+"/safe/x", strings.NewReader(body))
	if err != nil {
		return err
	}
	end, _ := ctx.Deadline()
	req.Host = emulator.Host
	req.Header.Set("Request-Id", t.id)
	req.Header.Set("Authorization", "Bearer "+keyOf(c.source.organisation))
	req.Header.Set(emulator.DeadlineHeader, strconv.FormatInt(max(time.Until(end).Milliseconds(), 1), 10))
	resp, err := c.load.connections.RoundTrip(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode == http.StatusOK && string(data) != emulator.AnswerBody(t.id, []byte(body)) {
		return fmt.Errorf("answer of another request: %s", data)
	}
	t.status = resp.StatusCode
	if after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		t.retryAfter = time.Duration(after * float64(time.Second))
	}
	return nil
}

// keyOf returns the key of an organisation.
func keyOf(organisation string) string { return "key-" + organisation }
