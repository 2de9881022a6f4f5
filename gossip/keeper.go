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
	for t, k := range n.connectors {
		if _, ok := wanted[t]; !ok {
			k.cancel()
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
	k := &connector{target: t}
	k.ctx, k.cancel = context.WithCancel(n.tomb.Context(context.Background()))
	if !n.spawnLocked(func() error { return n.maintainLink(k) }) {
		k.cancel()
		return
	}
	n.connectors[t] = k
}

// maintainLink opens a link to the target whenever there is none, until the target is removed.
func (n *Node) maintainLink(k *connector) error {
	failures := 0
	if n.options.Name > k.target.Name && k.target.Name != "" {
		// The daemon with the smaller name dials first, so that two neighbours rarely dial each
		// other at the same time.
		k.sleep(HeartbeatInterval)
	}
	for k.ctx.Err() == nil {
		if k.target.Name != "" && n.hasLink(k.target.Name) {
			failures = 0
			k.sleep(HeartbeatInterval)
			continue
		}
		name, err := n.dialAndRun(k)
		if k.ctx.Err() != nil {
			break
		}
		if name != "" {
			failures = 0
		}
		n.options.Observer.LinkLost(Target{Name: orElse(k.target.Name, name), Address: k.target.Address}, err)
		failures++
		k.sleep(n.backoff(failures))
	}
	return nil
}

// dialAndRun dials the target and runs the link until it ends.
func (n *Node) dialAndRun(k *connector) (name string, err error) {
	stream, err := n.options.Dialer.DialLink(n.tomb.Context(context.Background()), k.target)
	if err != nil {
		return "", err
	}
	return n.run(stream, &k.target)
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
func (k *connector) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-k.ctx.Done():
	case <-timer.C:
	}
}

func orElse(a, b string) string {
	if a != "" {
		return a
	}
	return b
}
