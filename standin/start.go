package standin

import (
	"context"
	"fmt"
	"net"

	"gopkg.in/tomb.v2"
)

// Server is the interface of all stand-ins.
type Server interface {
	// Serve serves on the listener until ctx is cancelled.
	Serve(ctx context.Context, l net.Listener) error
}

// Start serves s on a free port of 127.0.0.1 until ctx is cancelled. It returns
// the address, and a function that waits until s has stopped and returns its error.
func Start(ctx context.Context, s Server) (address string, wait func() error, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, fmt.Errorf("listen: %w", err)
	}
	var t tomb.Tomb
	t.Go(func() error { return s.Serve(ctx, l) })
	return l.Addr().String(), t.Wait, nil
}
