package entry

import (
	"context"
	"slices"

	"connectrpc.com/connect"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1/bronzeturnv1connect"
	"github.com/bronzeturn/bronzeturn/peer"
	"github.com/bronzeturn/bronzeturn/tally"
)

// tallyPlace returns this daemon's place in the tree over which counts are summed.
func (f *fleet) tallyPlace() tally.Place {
	t := f.tree()
	if slices.Contains(t.watching, f.daemon.Settings.Name) {
		return tally.Place{Roots: t.parents, Live: f.Live()}
	}
	return tally.Place{Depth: t.depth, Parents: t.parents, Live: f.Live()}
}

// tallyClient returns a client for the tally service of a daemon, or nil if the daemon is unknown.
func (f *fleet) tallyClient(daemon string) bronzeturnv1connect.TallyServiceClient {
	client, base, ok := f.directory.Dial(daemon)
	if !ok {
		return nil
	}
	return bronzeturnv1connect.NewTallyServiceClient(client, base, peer.ClientOptions()...)
}

// tallyServer receives the counts of other daemons.
type tallyServer struct{ daemon *Daemon }

// Add implements bronzeturnv1connect.TallyServiceHandler.
func (s tallyServer) Add(_ context.Context, r *connect.Request[bronzeturnv1.AddRequest]) (*connect.Response[bronzeturnv1.AddResponse], error) {
	return connect.NewResponse(s.daemon.introductions.tally.Add(r.Msg)), nil
}
