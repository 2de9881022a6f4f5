package entry

import (
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/peer"
)

// compressPullResponse returns the compressed form of a response, or the response itself if
// it is below peer.MinCompressBytes or compression does not make it smaller.
func compressPullResponse(m *bronzeturnv1.PullResponse) (*bronzeturnv1.PullResponse, error) {
	compressed, err := peer.Compress(m)
	if err != nil || compressed == nil {
		return m, err
	}
	return &bronzeturnv1.PullResponse{Compressed: compressed}, nil
}

// decompressPullResponse returns the decompressed form of a response, or the response itself
// if it is not compressed.
func decompressPullResponse(m *bronzeturnv1.PullResponse) (*bronzeturnv1.PullResponse, error) {
	if len(m.GetCompressed()) == 0 {
		return m, nil
	}
	content := &bronzeturnv1.PullResponse{}
	if err := peer.Decompress(m.GetCompressed(), content); err != nil {
		return nil, err
	}
	return content, nil
}
