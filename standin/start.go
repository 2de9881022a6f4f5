package standin

import (
	"context"
	"fmt"
	"net"

	"gopkg.in/tomb.v2"
)

// Server is what every stand-in offers.
type Server interface {
	// Serve answers on the listener until ctx ends.
	Serve(ctx context.Context, l net.Listener) error
}

// Start serves s on a free port of the loopback address until ctx ends. It
// returns the address, and a function that waits for the end of the service.
func Start(ctx context.Context, s Server) (address string, wait func() error, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, fmt.Errorf("listen: %w", err)
	}
	var t tomb.Tomb
	t.Go(func() error { return s.Serve(ctx, l) })
	return l.Addr().String(), t.Wait, nil
}
