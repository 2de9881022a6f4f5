package attempt

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// DialOptions set how soon a connection that carries nothing is given up. All
// times are required.
type DialOptions struct {
	// Connect bounds the opening of a connection.
	Connect time.Duration
	// Unacked is how long sent bytes may stay unacknowledged.
	Unacked time.Duration
	// ProbeAfter is the silence after which the peer's host is probed, ProbeEvery
	// the time between probes; ProbeCount probes without an answer end it.
	ProbeAfter, ProbeEvery time.Duration
	ProbeCount             int
}

// Dialer returns a dialer whose connections end when the other host is gone or
// has lost track of them, rather than hang.
func (o DialOptions) Dialer() func(ctx context.Context, network, address string) (net.Conn, error) {
	d := &net.Dialer{
		Timeout: o.Connect,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: o.ProbeAfter, Interval: o.ProbeEvery, Count: o.ProbeCount,
		},
		Control: func(_, _ string, c syscall.RawConn) error { return setUserTimeout(c, o.Unacked) },
	}
	return d.DialContext
}

// setUserTimeout bounds the time that sent bytes may stay unacknowledged.
func setUserTimeout(c syscall.RawConn, d time.Duration) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// FreshTransport returns a transport that opens a connection for each request
// and closes it afterwards. So no answer can be that of an earlier request, and
// no connection can have gone silent before it is used.
func FreshTransport(o DialOptions) *http.Transport {
	return &http.Transport{
		DialContext:            o.Dialer(),
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxAnswerHeaderBytes,
		WriteBufferSize:        connectionBuffer,
		ReadBufferSize:         connectionBuffer,
	}
}

const (
	// maxAnswerHeaderBytes bounds the header of an answer.
	maxAnswerHeaderBytes = 64 << 10
	// connectionBuffer is the buffer of one connection in each direction.
	connectionBuffer = 4 << 10
)

// keptIdle bounds the life of an idle connection of KeptTransport, keptPerHost
// their number.
const (
	keptIdle    = 30 * time.Second
	keptPerHost = 4
)

// KeptTransport returns a transport that keeps a few connections open, for a
// peer that is asked often.
func KeptTransport(o DialOptions) *http.Transport {
	return &http.Transport{
		DialContext: o.Dialer(), DisableCompression: true, IdleConnTimeout: keptIdle,
		MaxIdleConnsPerHost: keptPerHost, MaxResponseHeaderBytes: maxAnswerHeaderBytes,
	}
}
