package peer

import (
	"bytes"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/klauspost/compress/flate"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/wrapperspb"
)

// TestCompressedMessagesAreRestored guards against a message that compression alters.
func TestCompressedMessagesAreRestored(t *testing.T) {
	c := qt.New(t)
	message := wrapperspb.String(strings.Repeat("a registered engine; ", 1000))
	compressed, err := Compress(message)
	c.Assert(err, qt.IsNil)
	c.Check(10*len(compressed) < proto.Size(message), qt.IsTrue)
	got := &wrapperspb.StringValue{}
	c.Assert(Decompress(compressed, got), qt.IsNil)
	c.Check(got.GetValue(), qt.Equals, message.GetValue())
	compressed, err = Compress(wrapperspb.String("small"))
	c.Assert(err, qt.IsNil)
	c.Check(compressed, qt.IsNil)
}

// TestBadCompressedMessageIsRefused guards against a panic on a corrupt message and against
// memory exhaustion by one that expands beyond the message size limit.
func TestBadCompressedMessageIsRefused(t *testing.T) {
	c := qt.New(t)
	oversized, err := Compress(wrapperspb.String(strings.Repeat("x", MaxMessageBytes+1)))
	c.Assert(err, qt.IsNil)
	got := &wrapperspb.StringValue{}
	c.Check(Decompress(oversized, got), qt.ErrorIs, ErrMessageTooLarge)
	c.Check(Decompress([]byte{0xff, 0x01, 0x02}, got), qt.ErrorMatches, "decompress message: .*")
	valid, err := Compress(wrapperspb.String(strings.Repeat("x", 2*MinCompressBytes)))
	c.Assert(err, qt.IsNil)
	c.Check(Decompress(valid[:len(valid)/2], got), qt.ErrorMatches, "decompress message: .*")
	var invalid bytes.Buffer
	c.Assert(flate.StatelessDeflate(&invalid, []byte("not a message"), true, nil), qt.IsNil)
	c.Check(Decompress(invalid.Bytes(), got), qt.ErrorMatches, "decode message: .*")
}
