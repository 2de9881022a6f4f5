package entry

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"connectrpc.com/connect"

	"github.com/bronzeturn/bronzeturn/follow"
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1/bronzeturnv1connect"
	"github.com/bronzeturn/bronzeturn/membership"
	"github.com/bronzeturn/bronzeturn/peer"
)

// errNobody reports that no other daemon is known.
var errNobody = errors.New("no other daemon is known")

// Depth implements follow.Peers.
func (f *fleet) Depth() int { return f.tree().depth }

// Pull implements follow.Peers.
func (f *fleet) Pull(ctx context.Context, kind string, after uint64, wait time.Duration) (*follow.Pulled, error) {
	address, ok := f.source(wait > 0)
	if !ok {
		return nil, errNobody
	}
	return f.pullFrom(ctx, address, &bronzeturnv1.PullRequest{
		Kind: kind, AfterRevision: after, WaitMs: uint32(wait.Milliseconds()), Parts: true, Names: true, Compressed: true,
	})
}

// pullFrom sends a pull request to the daemon at the address.
func (f *fleet) pullFrom(ctx context.Context, address string, r *bronzeturnv1.PullRequest) (*follow.Pulled, error) {
	client, base := f.directory.ClientAt(address)
	service := bronzeturnv1connect.NewFollowServiceClient(client, base, peer.ClientOptions()...)
	answer, err := service.Pull(ctx, connect.NewRequest(r))
	if err != nil {
		// A daemon without a copy may receive one soon, so keep asking it for a first copy.
		if r.GetAfterRevision() > 0 || connect.CodeOf(err) != connect.CodeNotFound {
			f.avoid(address)
		}
		return nil, fmt.Errorf("pull %s from %s: %w", r.GetKind(), address, err)
	}
	content, err := decompressPullResponse(answer.Msg)
	if err != nil {
		f.avoid(address)
		return nil, fmt.Errorf("pull %s from %s: %w", r.GetKind(), address, err)
	}
	p := decodePullResponse(content)
	if p.Failing {
		f.avoid(address)
	}
	if p.NextPart > 0 {
		p.FetchNext = func(ctx context.Context) (*follow.Pulled, error) {
			return f.pullFrom(ctx, address, &bronzeturnv1.PullRequest{
				Kind: r.GetKind(), Parts: true, Part: uint32(p.NextPart), Compressed: true,
			})
		}
	}
	return p, nil
}

// decodePullResponse converts a response. It leaves FetchNext unset.
func decodePullResponse(m *bronzeturnv1.PullResponse) *follow.Pulled {
	p := &follow.Pulled{
		Full: m.GetFull(), Failing: m.GetFailing(), AfterOutage: m.GetAfterOutage(), NextPart: int(m.GetNextPart()),
		Age: time.Duration(m.GetConfirmedMsAgo()) * time.Millisecond,
	}
	p.Changes.Revision, p.Changes.Removed = m.GetRevision(), m.GetRemoved()
	if m.GetAllNamed() {
		p.Names = append([]string{}, m.GetNames()...)
	}
	for _, item := range m.GetItems() {
		p.Changes.Changed = append(p.Changes.Changed, follow.Item{
			Name: item.GetName(), Revision: item.GetRevision(), Created: item.GetCreated(),
			Spec: item.GetSpec(), Status: item.GetStatus(),
		})
	}
	return p
}

// source returns the peer address of the daemon to ask: for changes to wait for, the one
// that passes them on to this daemon; otherwise one that may have got them another way.
func (f *fleet) source(usual bool) (string, bool) {
	t := f.tree()
	if usual {
		if address, ok := f.firstAnswering(t.parents); ok {
			return address, true
		}
	}
	if f.chance(askAbove) {
		if address, ok := f.someOf(t.above); ok {
			return address, true
		}
	}
	if address, ok := f.someOf(f.others()); ok || usual {
		return address, ok
	}
	return f.someSeed()
}

// chance is true for a share of the calls.
func (f *fleet) chance(share float64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.Float64() < share
}

// someSeed returns the address of a seed for a daemon that knows no other. Only one that
// the store fails asks seeds: in a start of all they would have to answer everybody.
func (f *fleet) someSeed() (string, bool) {
	if len(f.members.View().Members) > 1 {
		return "", false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return pick(f.random, f.seeds)
}

// pick returns a random one of the list, if there is any.
func pick(random *rand.Rand, list []string) (string, bool) {
	if len(list) == 0 {
		return "", false
	}
	return list[random.IntN(len(list))], true
}

// firstAnswering returns the address of the first of the daemons that is not avoided.
func (f *fleet) firstAnswering(names []string) (string, bool) {
	view := f.members.View()
	for _, name := range names {
		if m, ok := view.Member(name); ok && !f.avoided(m.PeerAddress) {
			return m.PeerAddress, true
		}
	}
	return "", false
}

// others returns the names of the daemons that are not known to be down.
func (f *fleet) others() []string {
	view := f.members.View()
	var names []string
	for _, m := range view.Members {
		if m.Name != view.Self && m.State != membership.Suspected {
			names = append(names, m.Name)
		}
	}
	return names
}

// someOf returns the address of a random one of the daemons that is not avoided.
func (f *fleet) someOf(names []string) (string, bool) {
	view := f.members.View()
	var from []string
	for _, name := range names {
		if m, ok := view.Member(name); ok && m.Name != view.Self && !f.avoided(m.PeerAddress) {
			from = append(from, m.PeerAddress)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return pick(f.random, from)
}

// askAbove is the share of the questions out of turn that go to daemons that get changes
// before this one; the others go to any daemon. A change that did not come by the usual
// way has missed most of the former too when it was lost near the root.
const askAbove = 0.5

// avoidFor is how long a daemon that gave no good answer is not asked again.
const avoidFor = 2 * time.Second

// avoid keeps questions away from a daemon for a while.
func (f *fleet) avoid(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silent[address] = time.Now()
}

// avoided tells whether a daemon did not answer lately.
func (f *fleet) avoided(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	at, ok := f.silent[address]
	if ok && time.Since(at) > avoidFor {
		delete(f.silent, address)
		return false
	}
	return ok
}

// mostPullWait bounds how long another daemon's question may wait here.
const mostPullWait = 5 * time.Second

// pullServer hands out this daemon's copies.
type pullServer struct{ daemon *Daemon }

// Pull implements bronzeturnv1connect.FollowServiceHandler.
func (s pullServer) Pull(ctx context.Context, r *connect.Request[bronzeturnv1.PullRequest]) (*connect.Response[bronzeturnv1.PullResponse], error) {
	follower, ok := s.daemon.copies.of(r.Msg.GetKind())
	if !ok {
		return nil, connect.NewError(connect.CodeNotFound, errNoCopy)
	}
	p := s.pull(ctx, follower, r.Msg)
	if p == nil {
		return nil, connect.NewError(connect.CodeNotFound, errNoCopy)
	}
	answer := &bronzeturnv1.PullResponse{
		Revision: p.Changes.Revision, Full: p.Full, Failing: p.Failing, AfterOutage: p.AfterOutage, Removed: p.Changes.Removed,
		ConfirmedMsAgo: uint32(min(p.Age.Milliseconds(), math.MaxUint32)), NextPart: uint32(p.NextPart),
		Names: p.Names, AllNamed: p.Names != nil,
	}
	for _, item := range p.Changes.Changed {
		answer.Items = append(answer.Items, &bronzeturnv1.FollowedItem{
			Name: item.Name, Revision: item.Revision, Created: item.Created, Spec: item.Spec, Status: item.Status,
		})
	}
	if r.Msg.GetCompressed() {
		var err error
		if answer, err = compressPullResponse(answer); err != nil {
			return nil, connect.NewError(connect.CodeInternal, err)
		}
	}
	return connect.NewResponse(answer), nil
}

// pull returns the changes or the part of the copy that a request asks for, or nil when
// there is no copy.
func (s pullServer) pull(ctx context.Context, follower *follow.Follower, r *bronzeturnv1.PullRequest) *follow.Pulled {
	if r.GetPart() > 0 {
		return follower.Part(int(r.GetPart()))
	}
	wait := min(time.Duration(r.GetWaitMs())*time.Millisecond, mostPullWait)
	p := follower.Await(ctx, r.GetAfterRevision(), wait)
	if p != nil && (p.NextPart > 0 && !r.GetParts() || p.Names != nil && !r.GetNames()) {
		p = follower.SinceInOnePart(r.GetAfterRevision()) // The client does not support such a response.
	}
	return p
}

// errNoCopy reports that this daemon has no copy of the kind.
var errNoCopy = errors.New("no copy of this kind")
