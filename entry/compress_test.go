package entry

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// enginesResponse returns a response that holds the entries of n engines.
func enginesResponse(n int) *bronzeturnv1.PullResponse {
	m := &bronzeturnv1.PullResponse{Revision: uint64(n)}
	for i := range n {
		id := fmt.Sprintf("i-%010x", i*7919*7919)
		m.Items = append(m.Items, &bronzeturnv1.FollowedItem{
			Name: id, Revision: uint64(i + 1), Created: uint64(i + 1),
			Spec: engineSpec(id, i),
		})
	}
	return m
}

// TestPullResponsesAreCompressed guards against sending large responses uncompressed: when a
// fleet starts, each daemon receives the entries of all engines and forwards them to several
// others.
func TestPullResponsesAreCompressed(t *testing.T) {
	c := qt.New(t)
	full := enginesResponse(500)
	sent, err := compressPullResponse(full)
	c.Assert(err, qt.IsNil)
	c.Check(8*proto.Size(sent) < proto.Size(full), qt.IsTrue, qt.Commentf("%d bytes of %d", proto.Size(sent), proto.Size(full)))
	got, err := decompressPullResponse(sent)
	c.Assert(err, qt.IsNil)
	c.Check(proto.Equal(got, full), qt.IsTrue)

	small := enginesResponse(1)
	sent, err = compressPullResponse(small)
	c.Assert(err, qt.IsNil)
	c.Check(sent, qt.Equals, small)
}

// TestBadCompressedResponseIsRefused guards against accepting a corrupt compressed response.
func TestBadCompressedResponseIsRefused(t *testing.T) {
	_, err := decompressPullResponse(&bronzeturnv1.PullResponse{Compressed: []byte{0xff, 0x01, 0x02}})
	qt.Check(t, err, qt.ErrorMatches, "decompress message: .*")
}
