package ledger

// PreferredShards returns the names of the shards of which this daemon is
// currently the preferred writer, for status pages. It is empty until the
// layout is known.
func (l *Ledger) PreferredShards() []string {
	l.mu.Lock()
	count := len(l.shards)
	l.mu.Unlock()
	var names []string
	for shard := range uint32(count) {
		key := shardKey(shard)
		if _, self := l.cfg.Owners.Owner(key); self {
			names = append(names, key)
		}
	}
	return names
}
