package peer

import (
	"bytes"
	"errors"
	"fmt"
	"io"

	"github.com/klauspost/compress/flate"
	"google.golang.org/protobuf/proto"
)

// MinCompressBytes is the minimum encoded size of a message to compress. Smaller messages fit
// in one packet without compression.
const MinCompressBytes = 1 << 10

// ErrMessageTooLarge reports a message whose decompressed size exceeds MaxMessageBytes.
var ErrMessageTooLarge = errors.New("decompressed message exceeds the message size limit")

// Compress returns the encoding of a message compressed with DEFLATE, or nil if the message is
// below MinCompressBytes or compression does not make it smaller. The stateless compressor
// retains no memory between calls.
func Compress(m proto.Message) ([]byte, error) {
	if proto.Size(m) < MinCompressBytes {
		return nil, nil
	}
	data, err := proto.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode message: %w", err)
	}
	var compressed bytes.Buffer
	if err := flate.StatelessDeflate(&compressed, data, true, nil); err != nil {
		return nil, fmt.Errorf("compress message: %w", err)
	}
	if compressed.Len() >= len(data) {
		return nil, nil
	}
	return compressed.Bytes(), nil
}

// Decompress decodes a message compressed by Compress into m. It returns ErrMessageTooLarge if
// the decompressed size exceeds MaxMessageBytes.
func Decompress(compressed []byte, m proto.Message) error {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), MaxMessageBytes+1))
	if err != nil {
		return fmt.Errorf("decompress message: %w", err)
	}
	if len(data) > MaxMessageBytes {
		return ErrMessageTooLarge
	}
	if err := proto.Unmarshal(data, m); err != nil {
		return fmt.Errorf("decode message: %w", err)
	}
	return nil
}
