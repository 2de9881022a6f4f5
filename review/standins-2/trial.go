package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// trial is one run of a case.
type trial struct {
	root, folder string
	trouble      bool
	journal      *journal
	store        *store
	daemons      []*daemon
	engines      []*supervisor
	next         atomic.Int64
	onSay        func(s *supervisor, what, id string)
	// framed is set if the engines' answers have chunks.
	framed bool

	mu     sync.Mutex
	broken int
}

func newTrial(root, folder string) (*trial, error) {
	j, err := newJournal(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	t := &trial{root: root, trouble: os.Getenv("TROUBLE") != "0", journal: j}
	if t.folder, err = os.MkdirTemp("", "review2-"); err != nil {
		return nil, err
	}
	t.store, err = startStore()
	return t, err
}

// close ends all processes that the trial started.
func (t *trial) close() {
	for _, e := range t.engines {
		e.stop()
	}
	for _, d := range t.daemons {
		d.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(t.folder)
	}
}

// Names of the deployment.
const (
	hostName = "ficu95.example"
	key      = "n2ctnfzs989anu6wsjnb"
)

var zones = []string{"ba-1", "ba-2", "tt-1"}

// configuration returns the configuration of the deployment.
func configuration() json.RawMessage { return document("config.json") }

// startDaemons starts daemons in different zones and waits until they are ready.
func (t *trial) startDaemons(n int) error {
	for i := range n {
		t.daemons = append(t.daemons, newDaemon(fmt.Sprintf("front-%s-1", zones[i]), zones[i], fmt.Sprintf("127.0.0.%d", 11+i), t.store.address))
	}
	for _, d := range t.daemons {
		if err := d.writeSettings(t.folder, t.daemons); err != nil {
			return err
		}
		if err := d.start(t.root, t.folder); err != nil {
			return err
		}
	}
	ready := func() bool {
		for _, d := range t.daemons {
			if !d.isReady() {
				return false
			}
		}
		return true
	}
	if !waitFor(15*time.Second, ready) {
		return errors.New("the daemons are not ready")
	}
	return nil
}

// startEngines starts engines of a service.
func (t *trial) startEngines(service, version string, n, slots int) error {
	for range n {
		i := len(t.engines)
		spec := engineFacts{ID: fmt.Sprintf("i-%08x", 0x7f3a91c2+i), Service: service, Version: version, Zone: zones[i%len(zones)], Slots: slots, Store: t.store.address, Framed: t.framed}
		s, err := startSupervisor(spec, t.journal, func(s *supervisor, what, id string) { t.onSay(s, what, id) })
		if err != nil {
			return err
		}
		t.engines = append(t.engines, s)
	}
	return nil
}

// reply is the answer to a request as its client received it. err is set if the answer is not complete.
type reply struct {
	id     string
	status int
	header http.Header
	body   string
	err    error
}

// send sends a request on a new connection.
func (t *trial) send(d *daemon, method, path string, deadline time.Duration, body string, header ...string) reply {
	id := fmt.Sprintf("%016x", rand.Uint64()>>16<<16|uint64(t.next.Add(1))&0xffff)
	req, err := http.NewRequest(method, "http://"+d.front+path, strings.NewReader(body))
	if err != nil {
		return reply{id: id, err: err}
	}
	req.Host, req.Close = hostName, true
	req.Header.Set("Request-Id", id)
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set(wire.Deadline, fmt.Sprint(deadline.Milliseconds()))
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	t.journal.line("client sends %s %s %s to %s", id, method, path, d.name)
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}, Timeout: deadline + 3*time.Second}
	resp, err := client.Do(req)
	if err != nil {
		return reply{id: id, err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return reply{id: id, status: resp.StatusCode, header: resp.Header, body: string(data), err: err}
}

// violation records that the rule was broken.
func (t *trial) violation(format string, args ...any) {
	t.mu.Lock()
	t.broken++
	t.mu.Unlock()
	t.journal.line("BROKEN "+format, args...)
}
