package entry

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/klauspost/compress/s2"
	"google.golang.org/protobuf/proto"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/peer"
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
	c.Check(4*proto.Size(sent) < proto.Size(full), qt.IsTrue, qt.Commentf("%d bytes of %d", proto.Size(sent), proto.Size(full)))
	got, err := decompressPullResponse(sent)
	c.Assert(err, qt.IsNil)
	c.Check(proto.Equal(got, full), qt.IsTrue)

	small := enginesResponse(1)
	sent, err = compressPullResponse(small)
	c.Assert(err, qt.IsNil)
	c.Check(sent, qt.Equals, small)
}

// TestBadCompressedResponseIsRefused guards against a panic on a corrupt compressed response
// and against memory exhaustion by one that expands beyond the message size limit.
func TestBadCompressedResponseIsRefused(t *testing.T) {
	c := qt.New(t)
	_, err := decompressPullResponse(&bronzeturnv1.PullResponse{Compressed: s2.Encode(nil, make([]byte, peer.MaxMessageBytes+1))})
	c.Check(err, qt.ErrorIs, errResponseTooLarge)
	_, err = decompressPullResponse(&bronzeturnv1.PullResponse{Compressed: []byte{0xff, 0x01, 0x02}})
	c.Check(err, qt.ErrorMatches, "decompress copy: .*")
	_, err = decompressPullResponse(&bronzeturnv1.PullResponse{Compressed: s2.Encode(nil, []byte("not a response"))})
	c.Check(err, qt.ErrorMatches, "decode copy: .*")
}
