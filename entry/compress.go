package entry

import (
	"errors"
	"fmt"

	"github.com/klauspost/compress/s2"
	"google.golang.org/protobuf/proto"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/peer"
)

// minCompressBytes is the minimum encoded size of a response to compress. Smaller responses
// fit in one packet without compression.
const minCompressBytes = 1 << 10

// errResponseTooLarge reports a response whose decompressed size exceeds the message size
// limit.
var errResponseTooLarge = errors.New("decompressed response exceeds the message size limit")

// compressPullResponse returns the compressed form of a response, or the response itself if
// it is below minCompressBytes or compression does not make it smaller.
func compressPullResponse(m *bronzeturnv1.PullResponse) (*bronzeturnv1.PullResponse, error) {
	if proto.Size(m) < minCompressBytes {
		return m, nil
	}
	data, err := proto.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode copy: %w", err)
	}
	compressed := s2.Encode(nil, data)
	if len(compressed) >= len(data) {
		return m, nil
	}
	return &bronzeturnv1.PullResponse{Compressed: compressed}, nil
}

// decompressPullResponse returns the decompressed form of a response, or the response itself
// if it is not compressed.
func decompressPullResponse(m *bronzeturnv1.PullResponse) (*bronzeturnv1.PullResponse, error) {
	compressed := m.GetCompressed()
	if len(compressed) == 0 {
		return m, nil
	}
	size, err := s2.DecodedLen(compressed)
	if err != nil {
		return nil, fmt.Errorf("decompress copy: %w", err)
	}
	if size > peer.MaxMessageBytes {
		return nil, errResponseTooLarge
	}
	data, err := s2.Decode(nil, compressed)
	if err != nil {
		return nil, fmt.Errorf("decompress copy: %w", err)
	}
	content := &bronzeturnv1.PullResponse{}
	if err := proto.Unmarshal(data, content); err != nil {
		return nil, fmt.Errorf("decode copy: %w", err)
	}
	return content, nil
}
