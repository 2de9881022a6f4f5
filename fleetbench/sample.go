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

// Names of the daemon metrics that the benchmark reads.
const (
	metricPeerBytes  = "bronzeturn_peer_bytes_total"
	metricLinks      = "bronzeturn_gossip_links"
	metricEntryBytes = "bronzeturn_gossip_sent_entry_bytes_total"
)

// counters are the values of these metrics at one daemon, each summed over its labels.
type counters struct {
	peerBytes, links, entryBytes float64
}

// sample is the resource usage of the fleet up to a point in time.
type sample struct {
	at                time.Time
	usage             usage
	calls             standin.ObjectAPICalls
	systemBytes       [systemCount]uint64 // both directions
	systemConnections [systemCount]int64  // open now
	// daemons holds the counters by admin address. Daemons that do not answer are missing.
	daemons map[string]counters
}

// sample takes a sample.
func (b *bench) sample(ctx context.Context) (sample, error) {
	s := sample{daemons: make(map[string]counters)}
	for _, address := range b.fleet.adminAddresses() {
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
	for i := range s.systemBytes {
		t := &b.platform.traffic[i]
		s.systemBytes[i] = t.in.Load() + t.out.Load()
		s.systemConnections[i] = t.connections.Load()
	}
	return s, nil
}

// scrape reads the metrics of one daemon.
func scrape(ctx context.Context, address string) (counters, error) {
	var c counters
	err := readLines(ctx, "http://"+address+"/metrics", func(line string) {
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
	err := readLines(ctx, "http://"+address+"/debug/pprof/goroutine?debug=1", func(line string) {
		if n == 0 {
			_, _ = fmt.Sscanf(line, "goroutine profile: total %d", &n) // Other lines leave it zero.
		}
	})
	return n, err
}

// readLines requests a URL and passes each line of the answer to handle.
func readLines(ctx context.Context, url string, handle func(line string)) error {
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
		handle(lines.Text())
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("read %s: %w", url, err)
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}
