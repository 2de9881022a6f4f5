package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// journal writes lines with the time since the start to record.txt.
type journal struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newJournal(path string) (*journal, error) {
	f, err := os.Create(path)
	return &journal{file: f, began: time.Now()}, err
}

func (j *journal) line(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	_, _ = fmt.Fprintf(j.file, "%8.3f "+format+"\n", append([]any{time.Since(j.began).Seconds()}, args...)...)
}

// daemon is a process of the system on an address of its own.
type daemon struct {
	name, zone, region, ip                  string
	front, ready, control, directory, store string
	settings                                string
	cmd                                     *exec.Cmd
	done                                    chan struct{}
}

// freeAddress returns a free port of an address on loopback.
func freeAddress(ip string) string {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		panic(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func newDaemon(name, zone, ip, store string) *daemon {
	return &daemon{
		name: name, zone: zone, region: "sk-west", ip: ip, store: store,
		front: freeAddress(ip), ready: freeAddress(ip), control: freeAddress(ip), directory: freeAddress(ip),
	}
}

// writeSettings writes the settings file.
func (d *daemon) writeSettings(folder string, seeds []*daemon) error {
	var list []string
	for _, s := range seeds {
		list = append(list, fmt.Sprintf("%q", s.control))
	}
	text := fmt.Sprintf(string(document("settings.yaml")), d.name, d.ip, d.zone, d.front, d.ready, d.control, d.directory, strings.Join(list, ", "), d.store)
	d.settings = filepath.Join(folder, d.name+".yaml")
	return os.WriteFile(d.settings, []byte(text), 0o600)
}

// start starts the process with the command of the deploy file.
func (d *daemon) start(root, folder string) error {
	log, err := os.OpenFile(filepath.Join(folder, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	d.cmd = exec.Command("target/bronzeturn-entry", "--metrics-port", "9464")
	d.cmd.Dir, d.cmd.Stdout, d.cmd.Stderr = root, log, log
	d.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + folder, wire.Boot + "=" + d.settings}
	if err := d.cmd.Start(); err != nil {
		return err
	}
	cmd, done := d.cmd, make(chan struct{})
	d.done = done
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	return nil
}

// kill ends the process.
func (d *daemon) kill() {
	if d.cmd == nil {
		return
	}
	_ = d.cmd.Process.Kill()
	<-d.done
}

// isReady reports whether the process takes requests.
func (d *daemon) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + d.ready + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// waitFor waits until a condition holds, and reports whether it does.
func waitFor(within time.Duration, holds func() bool) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return false
}
