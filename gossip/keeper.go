package gossip

import (
	"context"
	"time"
)

// connector maintains the link to one target.
type connector struct {
	target Target
	ctx    context.Context
	cancel context.CancelFunc
}

// SetTargets replaces the daemons to maintain links to. Outbound links to other daemons are
// closed. A link that was opened to a bare address stays open if the daemon at that address is
// now a target by name.
func (n *Node) SetTargets(targets []Target) {
	n.mu.Lock()
	defer n.mu.Unlock()
	wanted := make(map[Target]struct{}, len(targets))
	names := make(map[string]struct{}, len(targets))
	for _, t := range targets {
		wanted[t] = struct{}{}
		names[t.Name] = struct{}{}
		n.addConnectorLocked(t)
	}
	for t, c := range n.connectors {
		if _, ok := wanted[t]; !ok {
			c.cancel()
			delete(n.connectors, t)
		}
	}
	for l := range n.links {
		if l.target == nil {
			continue
		}
		_, byTarget := wanted[*l.target]
		_, byName := names[l.peerName()]
		if !byTarget && (!byName || l.peerName() == "") {
			l.close(ErrNotWanted)
		}
	}
}

func (n *Node) addConnectorLocked(t Target) {
	if _, ok := n.connectors[t]; ok {
		return
	}
	c := &connector{target: t}
	c.ctx, c.cancel = context.WithCancel(n.tomb.Context(context.Background()))
	if !n.spawnLocked(func() error { return n.maintainLink(c) }) {
		c.cancel()
		return
	}
	n.connectors[t] = c
}

// maintainLink opens a link to the target whenever there is none, until the target is removed.
func (n *Node) maintainLink(c *connector) error {
	failures := 0
	if n.options.Name > c.target.Name && c.target.Name != "" {
		// The daemon with the smaller name dials first, so that two neighbours rarely dial each
		// other at the same time.
		c.sleep(HeartbeatInterval)
	}
	for c.ctx.Err() == nil {
		if c.target.Name != "" && n.hasLink(c.target.Name) {
			failures = 0
			c.sleep(HeartbeatInterval)
			continue
		}
		name, err := n.dialAndRun(c)
		if c.ctx.Err() != nil {
			break
		}
		if name != "" {
			failures = 0
		}
		n.options.Observer.LinkLost(Target{Name: orElse(c.target.Name, name), Address: c.target.Address}, err)
		failures++
		c.sleep(n.backoff(failures))
	}
	return nil
}

// dialAndRun dials the target and runs the link until it ends.
func (n *Node) dialAndRun(c *connector) (name string, err error) {
	stream, err := n.options.Dialer.DialLink(n.tomb.Context(context.Background()), c.target)
	if err != nil {
		return "", err
	}
	return n.run(stream, &c.target)
}

// Accept runs a link opened by a neighbour until it ends.
func (n *Node) Accept(stream Link) error {
	name, err := n.run(stream, nil)
	if name != "" {
		n.options.Observer.LinkLost(Target{Name: name}, err)
	}
	return err
}

// backoff returns the delay after the given number of consecutive failures: half of redialMin
// plus a random time up to a limit that doubles with every failure.
func (n *Node) backoff(failures int) time.Duration {
	limit := min(redialMin<<min(failures, 8), redialMax)
	return redialMin/2 + n.jitter(limit)
}

// sleep waits for d, or until the target is removed.
func (c *connector) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-c.ctx.Done():
	case <-timer.C:
	}
}

func orElse(a, b string) string {
	if a != "" {
		return a
	}
	return b
}
