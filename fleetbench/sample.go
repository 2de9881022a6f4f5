package fleetbench

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/bronzeturn/bronzeturn/standin"
)

// Metrics of a daemon that the benchmark reads.
const (
	metricPeerBytes  = "bronzeturn_peer_bytes_total"
	metricLinks      = "bronzeturn_gossip_links"
	metricEntryBytes = "bronzeturn_gossip_sent_entry_bytes_total"
)

// counters are the metrics of one daemon.
type counters struct {
	peerBytes, links, entryBytes float64
}

// sample is what the fleet has used so far.
type sample struct {
	at      time.Time
	usage   usage
	calls   standin.ObjectAPICalls
	outside [systems]uint64 // bytes, both ways
	open    [systems]int64  // connections
	// daemons holds the counters by admin address; lost daemons are missing.
	daemons map[string]counters
}

// sample reads all counters.
func (b *bench) sample(ctx context.Context) (sample, error) {
	s := sample{daemons: make(map[string]counters)}
	for _, address := range b.fleet.admins() {
		if c, err := scrape(ctx, address); err == nil {
			s.daemons[address] = c
		}
	}
	var err error
	if s.usage, err = b.fleet.usage(ctx); err != nil {
		return sample{}, err
	}
	s.at = time.Now()
	s.calls = b.platform.store.Calls()
	for i := range s.outside {
		t := &b.platform.traffic[i]
		s.outside[i] = t.in.Load() + t.out.Load()
		s.open[i] = t.connections.Load()
	}
	return s, nil
}

// scrape reads the metrics of one daemon.
func scrape(ctx context.Context, address string) (counters, error) {
	var c counters
	err := get(ctx, "http://"+address+"/metrics", func(line string) {
		name, value, _ := strings.Cut(line, " ")
		name, _, _ = strings.Cut(name, "{")
		n, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return
		}
		switch name {
		case metricPeerBytes:
			c.peerBytes += n
		case metricLinks:
			c.links += n
		case metricEntryBytes:
			c.entryBytes += n
		}
	})
	return c, err
}

// goroutinesOf returns the number of goroutines of a daemon's process.
func goroutinesOf(ctx context.Context, address string) (int, error) {
	n := 0
	err := get(ctx, "http://"+address+"/debug/pprof/goroutine?debug=1", func(line string) {
		if n == 0 {
			_, _ = fmt.Sscanf(line, "goroutine profile: total %d", &n) // Other lines leave it zero.
		}
	})
	return n, err
}

// get reads the answer line by line.
func get(ctx context.Context, url string, take func(line string)) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return fmt.Errorf("read %s: %w", url, err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("read %s: %w", url, err)
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		take(lines.Text())
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("read %s: %w", url, err)
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}
