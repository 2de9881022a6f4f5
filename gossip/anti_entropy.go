package gossip

import (
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// Anti-entropy is pull-based. A daemon whose table differs from a neighbour's sends its bucket
// digests. The neighbour answers with the versions that it holds in the buckets that differ, and
// the daemon requests the keys that it lacks or holds in an older version. The entries of a
// bucket that is empty on the requesting side are sent without this extra round trip.

// compareDigest compares a neighbour's bucket digests with those of this table. It returns the
// keys to send immediately, from buckets that are empty at the neighbour, and a summary of the
// other buckets that differ.
func (t *table) compareDigest(d *bronzeturnv1.TableDigest) (keys []string, summary *bronzeturnv1.TableSummary) {
	if len(d.GetBuckets()) != buckets {
		return nil, nil
	}
	summary = &bronzeturnv1.TableSummary{}
	for i, mine := range t.digests() {
		theirs := d.GetBuckets()[i]
		if mine == theirs {
			continue
		}
		if theirs == 0 {
			t.each(i, func(e *entry) { keys = append(keys, e.key) })
			continue
		}
		t.each(i, func(e *entry) { summary.Entries = append(summary.Entries, versionOf(e)) })
	}
	if len(summary.GetEntries()) == 0 {
		return keys, nil
	}
	return keys, summary
}

func versionOf(e *entry) *bronzeturnv1.EntryVersion {
	return &bronzeturnv1.EntryVersion{Key: e.key, Version: e.version, ValueHash: e.hash}
}

// compareSummary returns the keys in the summary that this table lacks or holds in an older
// version. Keys with a different value of the same version are included too, since the greater
// value takes precedence.
func (t *table) compareSummary(s *bronzeturnv1.TableSummary) *bronzeturnv1.TableWant {
	want := &bronzeturnv1.TableWant{}
	for _, theirs := range s.GetEntries() {
		mine := t.get(theirs.GetKey())
		if mine == nil || mine.version < theirs.GetVersion() {
			want.Keys = append(want.Keys, theirs.GetKey())
			continue
		}
		if mine.version == theirs.GetVersion() && mine.hash != theirs.GetValueHash() {
			want.Keys = append(want.Keys, theirs.GetKey())
		}
	}
	if len(want.GetKeys()) == 0 {
		return nil
	}
	return want
}

// splitSummary splits a summary into frames of at most summaryEntries entries.
func splitSummary(s *bronzeturnv1.TableSummary) []*bronzeturnv1.Frame {
	var frames []*bronzeturnv1.Frame
	for entries := s.GetEntries(); len(entries) > 0; {
		n := min(len(entries), summaryEntries)
		part := &bronzeturnv1.TableSummary{Entries: entries[:n]}
		frames = append(frames, &bronzeturnv1.Frame{Summary: part})
		entries = entries[n:]
	}
	return frames
}
