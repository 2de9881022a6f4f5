package attempt

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// DialOptions configures how soon a dead connection is detected. All fields are
// required.
type DialOptions struct {
	// Connect bounds the time to open a connection.
	Connect time.Duration
	// Unacked bounds how long sent data may stay unacknowledged (TCP_USER_TIMEOUT).
	Unacked time.Duration
	// ProbeAfter is the idle time after which TCP keep-alive probes start, ProbeEvery
	// the time between probes. Both are rounded up to whole seconds, the unit of the
	// kernel's settings. The connection ends when Unacked has passed since the peer was
	// last heard from and a probe is unanswered; ProbeCount applies if Unacked is zero.
	ProbeAfter, ProbeEvery time.Duration
	ProbeCount             int
}

// ToleratedSilence returns the shortest time for which a peer can be silent before its idle
// connection ends, and the longest time after which the connection to a peer that stays silent
// has ended.
func (o DialOptions) ToleratedSilence() (shortest, longest time.Duration) {
	after, every := wholeSeconds(o.ProbeAfter), wholeSeconds(o.ProbeEvery)
	end := after + every
	for end < o.Unacked {
		end += every
	}
	// The silence may begin right before the first probe, after a time without data.
	return end - after, end
}

// wholeSeconds rounds a duration up to seconds.
func wholeSeconds(d time.Duration) time.Duration {
	return (d + time.Second - 1).Truncate(time.Second)
}

// DialFunc opens a connection to an address, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer returns a dial function. Its connections fail instead of hanging if the other
// host is unreachable or has lost their state.
func (o DialOptions) Dialer() DialFunc {
	d := &net.Dialer{
		Timeout: o.Connect,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: o.ProbeAfter, Interval: o.ProbeEvery, Count: o.ProbeCount,
		},
		Control: func(_, _ string, c syscall.RawConn) error { return setUserTimeout(c, o.Unacked) },
	}
	return d.DialContext
}

// setUserTimeout bounds how long sent data may stay unacknowledged.
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

// NewUnpooledTransport returns a transport that opens a connection for each request and
// closes it afterwards. So an answer cannot belong to an earlier request, and a
// connection cannot have gone silent before it is used.
func NewUnpooledTransport(dial DialFunc) *Transport {
	return NewTransport(&http.Transport{
		DialContext:            dial,
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: MaxAnswerHeaderBytes,
		WriteBufferSize:        connectionBuffer,
		ReadBufferSize:         connectionBuffer,
	})
}

// MaxAnswerHeaderBytes bounds the header of an answer. The HTTP library's own bound is many times as
// large.
const MaxAnswerHeaderBytes = 64 << 10

const (
	// connectionBuffer is the size of the read and the write buffer of a connection.
	connectionBuffer = 4 << 10
)

// Limits of NewPooledTransport: how long idle connections are kept, and how many per
// host.
const (
	pooledIdleTimeout = 30 * time.Second
	pooledIdlePerHost = 4
)

// NewPooledTransport returns a transport that keeps a few connections open, for a peer
// that gets frequent requests.
func NewPooledTransport(o DialOptions) *Transport {
	return NewTransport(&http.Transport{
		DialContext: o.Dialer(), DisableCompression: true, IdleConnTimeout: pooledIdleTimeout,
		MaxIdleConnsPerHost: pooledIdlePerHost, MaxResponseHeaderBytes: MaxAnswerHeaderBytes,
	})
}
