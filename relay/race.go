package relay

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

// path is one way to connect: through the named daemon, or directly if the name is empty.
type path struct{ daemon string }

var directPath = path{}

// result is the end of one attempt.
type result struct {
	path path
	conn net.Conn
	err  error
}

// race is one Dial: attempts over several paths, of which the first one to connect wins.
type race struct {
	relay            *Relay
	network, address string
	ctx              context.Context
	cancel           context.CancelFunc
	results          chan result
	// running are the attempts without a result.
	running map[path]bool
	// rest are the paths not tried yet. They are nil until planned is set.
	rest    []path
	planned bool
	failed  PathError
}

// run starts the given paths and, when the lead has passed or these have failed, those through
// other daemons one after the other.
func (c *race) run(first []path, lead time.Duration) (net.Conn, error) {
	c.failed.Address = c.address
	for _, p := range first {
		c.start(p)
	}
	timer := time.NewTimer(lead)
	defer timer.Stop()
	due := time.Now().Add(lead)
	for {
		if len(c.running) == 0 && !c.startNext(timer, len(first) == 0) {
			return nil, c.fail()
		}
		select {
		case r := <-c.results:
			delete(c.running, r.path)
			if r.err == nil {
				c.win(r.path)
				return r.conn, nil
			}
			if c.lose(r) {
				return nil, c.fail()
			}
		case now := <-timer.C:
			if !c.planned && now.Sub(due) > maxTimerDelay {
				due = now.Add(lead)
				timer.Reset(lead)
				continue
			}
			c.startNext(timer, len(first) == 0)
		case <-c.ctx.Done():
			return nil, c.fail()
		}
	}
}

// startNext starts the next path through another daemon, or the direct path after all of them
// if directLast is set. It returns false if there is no further path.
func (c *race) startNext(timer *time.Timer, directLast bool) bool {
	if !c.planned {
		c.rest, c.planned = c.relay.detours(c.address, directLast), true
	}
	if len(c.rest) == 0 {
		return false
	}
	c.start(c.rest[0])
	c.rest = c.rest[1:]
	timer.Reset(nextRelayAfter)
	return true
}

// start starts an attempt. Its connection is closed if the race ends without it.
func (c *race) start(p path) {
	c.running[p] = true
	go func() {
		conn, err := c.connect(p)
		select {
		case c.results <- result{path: p, conn: conn, err: err}:
		case <-c.ctx.Done():
			c.relay.abandon(p, c.address, conn)
		}
	}()
}

// connect makes an attempt over a path. An attempt over the direct path continues when another
// path has won, so that the end of a partition is noticed.
func (c *race) connect(p path) (net.Conn, error) {
	if p != directPath {
		return c.relay.connectThrough(c.ctx, p.daemon, c.address)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.ctx), c.relay.Timeout)
	defer cancel()
	return c.relay.Options.Dial(ctx, c.network, c.address)
}

// win records the path that has connected. Daemons that were asked earlier and have not
// answered are slower than the time that each of them has.
func (c *race) win(winner path) {
	if winner == directPath {
		c.relay.directWorks(c.address)
		c.relay.opened.WithLabelValues("direct").Inc()
		return
	}
	for p := range c.running {
		if p != directPath {
			c.relay.peers.failed(p.daemon, time.Now())
		}
	}
	c.relay.peers.succeeded(winner.daemon, time.Now())
	c.relay.directFails(c.address, winner.daemon)
	c.relay.opened.WithLabelValues("relayed").Inc()
}

// lose records a path that has failed. It reports whether the host of the backend server is known
// to refuse connections, so that no other path can work.
func (c *race) lose(r result) (refused bool) {
	if r.path == directPath {
		c.failed.Direct = r.err
		c.relay.paths.fails(c.address, r.err, time.Now())
		return false
	}
	c.failed.Relayed = append(c.failed.Relayed, r.err)
	var refusal *RefusalError
	if !errors.As(r.err, &refusal) || refusal.atFault() {
		c.relay.peers.failed(r.path.daemon, time.Now())
	}
	return errors.Is(r.err, syscall.ECONNREFUSED)
}

// fail returns the error of a race that no path has won.
func (c *race) fail() error {
	if c.failed.Direct == nil {
		c.failed.Direct = c.ctx.Err()
	}
	if len(c.failed.Relayed) == 0 {
		return c.failed.Direct
	}
	c.failed.Refused = errors.Is(c.failed.Direct, syscall.ECONNREFUSED) && c.relay.linksWork(c.address)
	return &c.failed
}

// abandon handles the end of an attempt whose race is over.
func (r *Relay) abandon(p path, address string, conn net.Conn) {
	if conn == nil {
		return
	}
	if p == directPath {
		r.directWorks(address)
	}
	_ = conn.Close() // It has not been used.
}
