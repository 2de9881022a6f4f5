package harness

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Zones are the zones of a small deployment.
var Zones = []string{"hall-centro", "hall-porto", "hall-serra"}

// FreeIPs returns n loopback addresses of which nothing else makes use.
func FreeIPs(n int) []string {
	a, b := 20+rand.IntN(200), rand.IntN(250)
	var all []string
	for i := range n {
		all = append(all, fmt.Sprintf("127.%d.%d.%d", a, b, 10+i))
	}
	return all
}

// FreeAddress returns an address with a free port.
func FreeAddress(ip string) (string, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
}

// Daemon is an entry daemon as a process.
type Daemon struct {
	Name, Zone, IP                   string
	Front, Ready, Control, Directory string

	settings string
	log      string
	cmd      *exec.Cmd
	ended    chan struct{}
}

// NewDaemons returns n daemons with addresses, one zone after the other.
func NewDaemons(n int) ([]*Daemon, error) {
	var all []*Daemon
	for i, ip := range FreeIPs(n) {
		d := &Daemon{Zone: Zones[i%len(Zones)], IP: ip}
		d.Name = fmt.Sprintf("front-%s-%d", d.Zone, i/len(Zones)+1)
		for _, into := range []*string{&d.Front, &d.Ready, &d.Control, &d.Directory} {
			address, err := FreeAddress(ip)
			if err != nil {
				return nil, err
			}
			*into = address
		}
		all = append(all, d)
	}
	return all, nil
}

// Fleet is a set of daemons with a store.
type Fleet struct {
	Daemons []*Daemon
	Store   *Store
	Folder  string
	Record  *Record
}

// StartFleet starts daemons with the command of the deploy file, in the repository's root, and
// waits until all are ready. The configuration has to be in the store.
func StartFleet(n int, store *Store, folder string, record *Record) (*Fleet, error) {
	daemons, err := NewDaemons(n)
	if err != nil {
		return nil, err
	}
	f := &Fleet{Daemons: daemons, Store: store, Folder: folder, Record: record}
	for _, d := range daemons {
		if err := f.writeSettings(d); err != nil {
			return f, err
		}
	}
	for _, d := range daemons {
		if err := f.StartDaemon(d); err != nil {
			return f, err
		}
	}
	return f, f.awaitReady(20 * time.Second)
}

func (f *Fleet) writeSettings(d *Daemon) error {
	var seeds []string
	for _, other := range f.Daemons[:min(3, len(f.Daemons))] {
		seeds = append(seeds, fmt.Sprintf("%q", other.Control))
	}
	text := fmt.Sprintf(string(read("settings.yaml")), d.Name, d.IP, d.Zone, d.Front, d.Ready, d.Control, d.Directory, strings.Join(seeds, ", "), f.Store.Address)
	d.settings = filepath.Join(f.Folder, d.Name+".yaml")
	d.log = filepath.Join(f.Folder, d.Name+".log")
	return os.WriteFile(d.settings, []byte(text), 0o600)
}

// StartDaemon starts the process of a daemon.
func (f *Fleet) StartDaemon(d *Daemon) error {
	log, err := os.OpenFile(d.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command("target/bronzeturn-entry", "--metrics-port", "9464")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8", Name("settingsVariable") + "=" + d.settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	register(cmd)
	d.cmd, d.ended = cmd, make(chan struct{})
	go func(ended chan struct{}) {
		err := cmd.Wait()
		unregister(cmd)
		f.Record.Printf("daemon %s ended: %v", d.Name, err)
		close(ended)
	}(d.ended)
	f.Record.Printf("daemon %s started, clients at %s", d.Name, d.Front)
	return nil
}

// Signal sends a signal to a daemon.
func (f *Fleet) Signal(d *Daemon, s syscall.Signal) {
	f.Record.Printf("signal %v to daemon %s", s, d.Name)
	_ = d.cmd.Process.Signal(s)
}

var errNotReady = errors.New("a daemon is not ready in time")

func (f *Fleet) awaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, d := range f.Daemons {
		for !IsReady(d) {
			if time.Now().After(deadline) {
				return errNotReady
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	f.Record.Printf("all %d daemons ready", len(f.Daemons))
	return nil
}

// IsReady reports whether a daemon says that it is ready.
func IsReady(d *Daemon) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.Ready+"/readyz", nil)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode == http.StatusOK
}

// Stop ends all daemons.
func (f *Fleet) Stop() {
	for _, d := range f.Daemons {
		if d.cmd == nil {
			continue
		}
		_ = d.cmd.Process.Signal(syscall.SIGCONT)
		_ = d.cmd.Process.Kill()
		<-d.ended
	}
}
