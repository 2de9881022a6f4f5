package provider

import (
	"context"
	"math"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/bronzeturn/bronzeturn/config"
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1/bronzeturnv1connect"
)

// maxRequestBytes limits the size of a request. It suffices for all digests of a head.
const maxRequestBytes = config.MaxParts*40 + 4<<10

// compressBytes is the size from which responses are compressed.
const compressBytes = 4 << 10

// Handler returns the path and the handler through which peers fetch the
// configuration. It is meant for the listener for peers.
func (p *Provider) Handler(options ...connect.HandlerOption) (string, http.Handler) {
	options = append(options, connect.WithReadMaxBytes(maxRequestBytes), connect.WithCompressMinBytes(compressBytes))
	return bronzeturnv1connect.NewConfigurationServiceHandler(&service{provider: p}, options...)
}

// service implements the ConfigurationService.
type service struct {
	provider *Provider
}

// Current implements the ConfigurationService.
func (s *service) Current(context.Context, *connect.Request[bronzeturnv1.CurrentRequest]) (*connect.Response[bronzeturnv1.CurrentResponse], error) {
	response := &bronzeturnv1.CurrentResponse{NewsAgeMs: math.MaxInt64}
	p := s.provider
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state.inForce != nil {
		response.Head = p.state.inForce.value
	}
	if !p.state.confirmed.IsZero() {
		response.NewsAgeMs = uint64(max(time.Since(p.state.confirmed), 0).Milliseconds())
	}
	return connect.NewResponse(response), nil
}

// FetchParts implements the ConfigurationService. Parts that do not fit into one
// response are left out; the peer requests them again.
func (s *service) FetchParts(_ context.Context, request *connect.Request[bronzeturnv1.FetchPartsRequest]) (*connect.Response[bronzeturnv1.FetchPartsResponse], error) {
	response := &bronzeturnv1.FetchPartsResponse{}
	size := 0
	for _, raw := range request.Msg.GetSha256S() {
		if len(raw) != len(config.Digest{}) {
			return nil, connect.NewError(connect.CodeInvalidArgument, &config.HeadError{Message: "digest of a wrong length"})
		}
		value, ok := s.provider.value(config.Digest(raw))
		if !ok {
			continue
		}
		if size += len(value); size > maxFetchBytes {
			break
		}
		response.Parts = append(response.Parts, value)
	}
	return connect.NewResponse(response), nil
}

// value returns the stored bytes of a part, if the daemon holds it.
func (p *Provider) value(digest config.Digest) ([]byte, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if value, ok := p.values[digest]; ok {
		return value, true
	}
	value, ok := p.fetched[digest]
	return value, ok
}
