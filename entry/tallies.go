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

// tallyPlace returns this daemon's place for the adding up of counts.
func (f *fleet) tallyPlace() tally.Place {
	t := f.tree()
	if slices.Contains(t.watching, f.daemon.Settings.Name) {
		return tally.Place{Roots: t.parents, Live: f.Live()}
	}
	return tally.Place{Depth: t.depth, Parents: t.parents, Live: f.Live()}
}

// tallyOf opens calls to a daemon that adds counts up.
func (f *fleet) tallyOf(daemon string) bronzeturnv1connect.TallyServiceClient {
	client, base, ok := f.directory.Dial(daemon)
	if !ok {
		return nil
	}
	return bronzeturnv1connect.NewTallyServiceClient(client, base, peer.ClientOptions()...)
}

// tallyServer answers daemons that add counts up.
type tallyServer struct{ daemon *Daemon }

// Add implements bronzeturnv1connect.TallyServiceHandler.
func (s tallyServer) Add(_ context.Context, r *connect.Request[bronzeturnv1.AddRequest]) (*connect.Response[bronzeturnv1.AddResponse], error) {
	return connect.NewResponse(s.daemon.introductions.tally.Add(r.Msg)), nil
}
