package fleetbench

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// TestSizesOfGossipedEntries bounds the sizes of the gossip entries from which
// docs/CAPACITY.md computes the cost of membership changes.
func TestSizesOfGossipedEntries(t *testing.T) {
	const version = 1 << 60 // Versions of daemon and suspicion entries are timestamps.
	for _, tt := range []struct {
		name  string
		key   string
		value proto.Message
		most  int
	}{
		{"daemon", "daemon/" + daemonName(409), &bronzeturnv1.DaemonState{
			Incarnation: version, PeerAddress: "10.100.100.100:8081", CallerAddress: "10.100.100.100:8080",
			DataCentre: dataCentreName(3), Host: daemonName(409), Load: 3,
		}, 120},
		{"suspicion", "suspect/" + daemonName(409) + "/" + daemonName(408), &bronzeturnv1.Suspicion{
			Incarnation: version, Reason: bronzeturnv1.SuspicionReason_SUSPICION_REASON_UNREACHABLE,
		}, 60},
		{"host", "host/backend-5299", &bronzeturnv1.HostState{DataCentre: dataCentreName(3), Leaving: true}, 48},
	} {
		value, err := proto.Marshal(tt.value)
		qt.Assert(t, err, qt.IsNil)
		size := proto.Size(&bronzeturnv1.TableEntry{Key: tt.key, Version: version, Value: value})
		t.Logf("%s: %d bytes", tt.name, size)
		qt.Check(t, size <= tt.most, qt.IsTrue)
	}
}
