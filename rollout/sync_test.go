package rollout_test

import (
	"bytes"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/rollout"
)

// broadcast is a table that delivers entries synchronously.
type broadcast struct {
	subscribers []func(string, uint64, []byte)
	bytes       int
}

func (b *broadcast) Publish(key string, version uint64, value []byte) error {
	b.bytes = len(value)
	for _, f := range b.subscribers {
		f(key, version, value)
	}
	return nil
}

func (b *broadcast) Subscribe(_ string, f func(string, uint64, []byte)) {
	b.subscribers = append(b.subscribers, f)
}

func TestCutOffReachesOtherDaemons(t *testing.T) {
	table, log := &broadcast{}, &bytes.Buffer{}
	owner := newRaters(rollout.Options{}, 11)
	ownerController := rollout.NewController(rollout.Options{})
	owner.track = ownerController.Track("v")
	other := rollout.NewController(rollout.Options{})
	sync := rollout.NewSync(ownerController, table, zerolog.New(log))
	sync.Start()
	rollout.NewSync(other, table, zerolog.Nop()).Start()

	owner.until(rollout.CutOff, 5, 0.1, 1000)
	sync.Changed("v", rollout.CutOff)
	qt.Assert(t, other.Track("v").Gate(owner.now), qt.Equals, rollout.GateClosed)
	qt.Assert(t, other.Track("v").RetryAt().UnixMilli(), qt.Equals, owner.track.RetryAt().UnixMilli())
	qt.Assert(t, table.bytes < 20, qt.IsTrue, qt.Commentf("%d bytes", table.bytes))

	owner.now = owner.track.RetryAt()
	owner.until(rollout.Cleared, 5, 0.95, 1000)
	sync.Changed("v", rollout.Cleared)
	qt.Assert(t, other.Track("v").Gate(owner.now), qt.Equals, rollout.GateOpen)

	sync.Changed("v", rollout.Unchanged)
	qt.Assert(t, strings.Count(log.String(), "\n"), qt.Equals, 2, qt.Commentf("one line per decision: %s", log))
}

func TestInvalidStatesAreIgnored(t *testing.T) {
	table := &broadcast{}
	c := rollout.NewController(rollout.Options{})
	rollout.NewSync(c, table, zerolog.Nop()).Start()
	outOfRange, err := proto.Marshal(&bronzeturnv1.VersionGate{CutOff: true, Stage: 1000})
	qt.Assert(t, err, qt.IsNil)
	for _, value := range [][]byte{nil, []byte("\xff\xff"), outOfRange} {
		qt.Assert(t, table.Publish(rollout.TablePrefix+"v", 1, value), qt.IsNil)
		qt.Assert(t, c.Track("v").Gate(start), qt.Equals, rollout.GateOpen)
	}
}
