package soak

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/bronzeturn/bronzeturn/platform/emulator"
)

const (
	// unrulyClients is the number of clients that misbehave at a time, unrulyBodyBytes the size of
	// the bodies that they do not end. Together they exceed the memory of a daemon.
	unrulyClients   = 150
	unrulyBodyBytes = 4<<20 - unrulyChunkBytes
	// unrulyChunkBytes is the size of a chunk of a body.
	unrulyChunkBytes = 64 << 10
	// unrulyTimeout bounds the time for which such a client writes.
	unrulyTimeout = 10 * time.Second
	// memoryMB is the memory of a daemon in MB, maxFDs the number of its descriptors.
	memoryMB, maxFDs = 160, 600
)

// unrulyKinds are the starts of requests that do not end.
var unrulyKinds = []string{
	"", // Nothing is sent.
	"POST /stream/x HTTP/1.1\r\nHost: %[1]s\r\nEndless-",
	"POST /unknown/x HTTP/1.1\r\nHost: %[1]s\r\nTransfer-Encoding: chunked\r\n\r\n",
	"POST /stream/x HTTP/1.1\r\nHost: %[1]s\r\nRequest-Id: unruly\r\nAuthorization: Bearer %[2]s\r\nTransfer-Encoding: chunked\r\n\r\n",
}

// startUnrulyClients opens connections to a daemon and sends requests that do not end. The returned
// function closes them, and checks that the daemon has neither ended nor outgrown its memory.
func (r *run) startUnrulyClients(d *daemon) (end func()) {
	chunk := fmt.Appendf(nil, "%x\r\n%s\r\n", unrulyChunkBytes, bytes.Repeat([]byte("b"), unrulyChunkBytes))
	var clients sync.WaitGroup
	ended := make(chan struct{})
	for i := range unrulyClients {
		clients.Go(func() {
			conn, err := net.DialTimeout("tcp", d.Front, time.Second)
			if err != nil {
				return // The daemon may be stopped.
			}
			clients.Go(func() {
				<-ended
				_ = conn.Close()
			})
			_ = conn.SetDeadline(time.Now().Add(unrulyTimeout))
			kind := i % len(unrulyKinds)
			if kind > 0 {
				_, err = fmt.Fprintf(conn, unrulyKinds[kind], emulator.Host, emulator.Key)
			}
			if kind == len(unrulyKinds)-1 {
				for n := 0; n < unrulyBodyBytes && err == nil; n += unrulyChunkBytes {
					_, err = conn.Write(chunk)
				}
			}
		})
	}
	return func() {
		close(ended)
		clients.Wait()
		r.checkMemory(d)
	}
}

// checkMemory checks that a daemon runs, unless it was stopped, and that its memory has stayed within
// its limit.
func (r *run) checkMemory(d *daemon) {
	d.mu.Lock()
	pid, exited, stopped := d.cmd.Process.Pid, d.ended, d.stopped
	d.mu.Unlock()
	if stopped {
		return
	}
	select {
	case <-exited:
		r.checks.reportViolation("daemon %s ended by itself", d.Name)
		return
	default:
	}
	status, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return // The daemon was stopped meanwhile.
	}
	defer func() { _ = status.Close() }() // It is only read.
	if peak := peakMemoryMB(status); peak > memoryMB {
		r.checks.reportViolation("daemon %s used %d MB of memory, limit %d", d.Name, peak, memoryMB)
	}
}

// peakMemoryMB returns the greatest resident memory that the status file of a process states, in MB.
func peakMemoryMB(status io.Reader) int {
	const field = "VmHWM:"
	text, _ := io.ReadAll(status) // A process that ends has no memory.
	_, after, found := bytes.Cut(text, []byte(field))
	kilobytes := 0
	if found {
		_, _ = fmt.Sscan(string(after), &kilobytes)
	}
	return kilobytes >> 10
}
