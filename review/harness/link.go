package harness

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// Link stands for the path between the daemons and one engine. While it is cut, it holds what is
// sent, and the ends of channels too; what was held arrives when the cut ends. A channel that one
// end resets is reset at the other.
type Link struct {
	Address string

	record   *Record
	name     string
	target   string
	listener net.Listener

	mu     sync.Mutex
	healed chan struct{}
	closed bool
}

// StartLink starts a link to a target on a free port of an IP address.
func StartLink(record *Record, name, ip, target string) (*Link, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	link := &Link{Address: l.Addr().String(), record: record, name: name, target: target, listener: l, healed: make(chan struct{})}
	close(link.healed)
	go link.accept()
	return link, nil
}

// Cut begins a cut.
func (l *Link) Cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.healed = make(chan struct{})
	l.record.Printf("link to %s is cut", l.name)
}

// Heal ends the cut.
func (l *Link) Heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.record.Printf("link to %s is whole again", l.name)
	close(l.healed)
}

// Close closes the listener.
func (l *Link) Close() { _ = l.listener.Close() }

// await waits until there is no cut.
func (l *Link) await() {
	l.mu.Lock()
	healed := l.healed
	l.mu.Unlock()
	<-healed
}

func (l *Link) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.serve(conn.(*net.TCPConn))
	}
}

func (l *Link) serve(near *net.TCPConn) {
	l.await()
	conn, err := net.DialTimeout("tcp", l.target, time.Second)
	if err != nil {
		l.record.Printf("link to %s: channel reset, %v", l.name, err)
		reset(near)
		return
	}
	far := conn.(*net.TCPConn)
	var both sync.WaitGroup
	both.Go(func() { l.forward(near, far) })
	both.Go(func() { l.forward(far, near) })
	both.Wait()
	_ = near.Close()
	_ = far.Close()
}

// forward copies bytes until the end of one direction.
func (l *Link) forward(from, to *net.TCPConn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		l.await()
		if n > 0 {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				reset(from)
				return
			}
		}
		switch {
		case err == nil:
			continue
		case errors.Is(err, io.EOF):
			_ = to.CloseWrite()
		case errors.Is(err, syscall.ECONNRESET):
			reset(to)
		}
		return
	}
}

func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}
