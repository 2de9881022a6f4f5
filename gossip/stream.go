package gossip

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1/bronzeturnv1connect"
	"github.com/bronzeturn/bronzeturn/peer"
)

// StreamDialer opens links as Connect streams through a peer directory.
type StreamDialer struct {
	Directory *peer.Directory
}

// DialLink implements Dialer. The connection is opened when the first frame is sent, so a
// connection failure is reported by Send or Receive.
func (d *StreamDialer) DialLink(ctx context.Context, target Target) (Link, error) {
	client, base := d.Directory.ClientAt(target.Address)
	ctx, cancel := context.WithCancel(ctx)
	service := bronzeturnv1connect.NewPeerServiceClient(client, base, peer.ClientOptions()...)
	return &clientLink{stream: service.Exchange(ctx), cancel: cancel}, nil
}

type clientLink struct {
	stream *connect.BidiStreamForClient[bronzeturnv1.ExchangeRequest, bronzeturnv1.ExchangeResponse]
	cancel context.CancelFunc
}

// Send implements Link.
func (c *clientLink) Send(frame *bronzeturnv1.Frame) error {
	return c.stream.Send(&bronzeturnv1.ExchangeRequest{Frame: frame})
}

// Receive implements Link.
func (c *clientLink) Receive() (*bronzeturnv1.Frame, error) {
	response, err := c.stream.Receive()
	if err != nil {
		return nil, err
	}
	return response.GetFrame(), nil
}

// Close implements Link. CloseRequest wakes up the transport, which may be waiting for the next
// frame to send and would then not notice the cancellation.
func (c *clientLink) Close() {
	c.cancel()
	_ = c.stream.CloseRequest()
}

// NewHandler returns the path and the handler of the overlay streams that neighbours open.
func NewHandler(n *Node) (string, http.Handler) {
	path, handler := bronzeturnv1connect.NewPeerServiceHandler(&service{node: n}, peer.HandlerOptions()...)
	return path, withController(handler)
}

// closeGrace is how long a blocked write may delay the end of a stream.
const closeGrace = 500 * time.Millisecond

// controllerKey is the context key of the response controller of a stream.
type controllerKey struct{}

// withController stores the response controller in the context of each request. Its deadlines
// are the only means to end a blocked read or write of a stream.
func withController(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx := context.WithValue(r.Context(), controllerKey{}, http.NewResponseController(w))
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

type service struct {
	node *Node
}

// Exchange implements the Exchange method of the peer service.
func (s *service) Exchange(ctx context.Context, stream *connect.BidiStream[bronzeturnv1.ExchangeRequest, bronzeturnv1.ExchangeResponse]) error {
	controller, _ := ctx.Value(controllerKey{}).(*http.ResponseController)
	err := s.node.Accept(&serverLink{stream: stream, controller: controller})
	if err == nil {
		return nil
	}
	return connect.NewError(connect.CodeUnavailable, err)
}

type serverLink struct {
	stream     *connect.BidiStream[bronzeturnv1.ExchangeRequest, bronzeturnv1.ExchangeResponse]
	controller *http.ResponseController
}

// Send implements Link.
func (s *serverLink) Send(frame *bronzeturnv1.Frame) error {
	return s.stream.Send(&bronzeturnv1.ExchangeResponse{Frame: frame})
}

// Receive implements Link.
func (s *serverLink) Receive() (*bronzeturnv1.Frame, error) {
	request, err := s.stream.Receive()
	if err != nil {
		return nil, err
	}
	return request.GetFrame(), nil
}

// Close implements Link. A write in progress gets a short grace period, since a stream whose
// write deadline has passed cannot notify the neighbour of its end.
func (s *serverLink) Close() {
	now := time.Now()
	_ = s.controller.SetReadDeadline(now)
	_ = s.controller.SetWriteDeadline(now.Add(closeGrace))
}
