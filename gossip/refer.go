package gossip

import (
	"time"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// sendReferral sends entries of known daemons on a stream that is refused at the link limit.
func (n *Node) sendReferral(stream Link) {
	frame := &bronzeturnv1.Frame{Entries: n.referral()}
	if len(frame.Entries) == 0 {
		return
	}
	if err := stream.Send(frame); err != nil {
		n.log.Debug().Err(err).Msg("failed to send overlay referral")
	}
}

// referral returns entries of known daemons that a joining daemon can link to instead.
func (n *Node) referral() []*bronzeturnv1.TableEntry {
	if n.options.ReferralPrefix == "" {
		return nil
	}
	var entries []*bronzeturnv1.TableEntry
	now := time.Now()
	for _, key := range n.referralKeys() {
		if e := n.table.get(key); e != nil && len(e.value) > 0 {
			entries = append(entries, n.table.message(e, now))
		}
	}
	return entries
}

// referralKeys returns up to maxReferralEntries random daemon keys, followed by the greeting
// keys so that the refused daemon also learns this daemon's entry.
func (n *Node) referralKeys() []string {
	var keys []string
	n.Each(n.options.ReferralPrefix, func(key string, _ uint64, value []byte) {
		if len(value) > 0 {
			keys = append(keys, key)
		}
	})
	n.mu.Lock()
	defer n.mu.Unlock()
	n.random.Shuffle(len(keys), func(i, j int) { keys[i], keys[j] = keys[j], keys[i] })
	return append(keys[:min(len(keys), maxReferralEntries)], n.options.GreetingKeys...)
}
