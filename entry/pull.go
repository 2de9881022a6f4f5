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
	"github.com/bronzeturn/bronzeturn/revision"
)

// errNoPeer reports that there is no other daemon to pull from.
var errNoPeer = errors.New("no other daemon is known")

// Depth implements follow.Peers.
func (f *fleet) Depth() int { return f.tree().depth }

// Pull implements follow.Peers.
func (f *fleet) Pull(ctx context.Context, kind string, after uint64, wait time.Duration) (*follow.PullResponse, error) {
	address, ok := f.pullSource(wait > 0)
	if !ok {
		return nil, errNoPeer
	}
	return f.pullFrom(ctx, address, &bronzeturnv1.PullRequest{
		Kind: kind, Eras: true, AfterEra: revision.Era(after), AfterRevision: revision.Counter(after), WaitMs: uint32(wait.Milliseconds()), Parts: true, Names: true, Compressed: true,
	})
}

// pullFrom sends a pull request to the daemon at the address.
func (f *fleet) pullFrom(ctx context.Context, address string, r *bronzeturnv1.PullRequest) (*follow.PullResponse, error) {
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
	if r.GetPart() == 0 && revision.Era(p.Changes.Revision) < r.GetAfterEra() {
		f.avoid(address)
		return nil, fmt.Errorf("pull %s from %s: %w", r.GetKind(), address, errOlderEra)
	}
	if p.Failing {
		f.avoid(address)
	}
	if p.NextPart > 0 {
		p.FetchNext = func(ctx context.Context) (*follow.PullResponse, error) {
			return f.pullFrom(ctx, address, &bronzeturnv1.PullRequest{
				Kind: r.GetKind(), Parts: true, Part: uint32(p.NextPart), Compressed: true,
			})
		}
	}
	return p, nil
}

// errOlderEra reports that the other daemon has not learned yet that the store has been restored.
var errOlderEra = errors.New("the copy is of an earlier era of the store")

// decodePullResponse converts a response. It leaves FetchNext unset.
func decodePullResponse(m *bronzeturnv1.PullResponse) *follow.PullResponse {
	p := &follow.PullResponse{
		Full: m.GetFull(), Failing: m.GetFailing(), AfterOutage: m.GetAfterOutage(), NextPart: int(m.GetNextPart()),
		Age: time.Duration(m.GetConfirmedMsAgo()) * time.Millisecond,
	}
	p.Changes.Revision, p.Changes.Removed = revision.In(m.GetEra(), m.GetRevision()), m.GetRemoved()
	if m.GetAllNamed() {
		p.Names = append([]string{}, m.GetNames()...)
	}
	p.Changes.Changed = decodeItems(m.GetItems())
	return p
}

// encodeItems converts objects for another daemon.
func encodeItems(items []follow.Item) (encoded []*bronzeturnv1.FollowedItem) {
	for _, item := range items {
		encoded = append(encoded, &bronzeturnv1.FollowedItem{
			Name: item.Name, Era: revision.Era(item.Revision), Revision: revision.Counter(item.Revision), Created: revision.Counter(item.Created),
			Spec: item.Spec, Status: item.Status,
		})
	}
	return encoded
}

// decodeItems converts objects of another daemon.
func decodeItems(encoded []*bronzeturnv1.FollowedItem) (items []follow.Item) {
	for _, item := range encoded {
		items = append(items, follow.Item{
			Name: item.GetName(), Revision: revision.In(item.GetEra(), item.GetRevision()), Created: revision.In(item.GetEra(), item.GetCreated()),
			Spec: item.GetSpec(), Status: item.GetStatus(),
		})
	}
	return items
}

// pullSource returns the peer address of the daemon to pull from. To wait for changes, that is
// usually this daemon's parent in the tree; otherwise it is a random daemon, which may have
// received the changes by another path.
func (f *fleet) pullSource(fromParent bool) (string, bool) {
	t := f.tree()
	if fromParent {
		if address, ok := f.firstNotAvoided(t.parents); ok {
			return address, true
		}
	}
	if f.chance(upstreamPullShare) {
		if address, ok := f.randomPeer(t.upstream); ok {
			return address, true
		}
	}
	if address, ok := f.randomPeer(f.unsuspectedPeers()); ok || fromParent {
		return address, ok
	}
	return f.randomSeed()
}

// chance returns true with the given probability.
func (f *fleet) chance(probability float64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.Float64() < probability
}

// randomSeed returns the address of a seed if this daemon knows no other. Only a daemon that gets
// no answer from the store pulls from seeds: when all daemons start at once, the seeds would
// otherwise have to answer all of them.
func (f *fleet) randomSeed() (string, bool) {
	if len(f.members.View().Members) > 1 {
		return "", false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return pickRandom(f.random, f.seeds)
}

// pickRandom returns a random element of the list, or false if the list is empty.
func pickRandom(random *rand.Rand, list []string) (string, bool) {
	if len(list) == 0 {
		return "", false
	}
	return list[random.IntN(len(list))], true
}

// firstNotAvoided returns the address of the first of the daemons that is not avoided.
func (f *fleet) firstNotAvoided(names []string) (string, bool) {
	view := f.members.View()
	for _, name := range names {
		if m, ok := view.Member(name); ok && !f.avoided(m.PeerAddress) {
			return m.PeerAddress, true
		}
	}
	return "", false
}

// unsuspectedPeers returns the names of the other daemons that are not suspected to be down.
func (f *fleet) unsuspectedPeers() []string {
	view := f.members.View()
	var names []string
	for _, m := range view.Members {
		if m.Name != view.Self && m.State != membership.Suspected {
			names = append(names, m.Name)
		}
	}
	return names
}

// randomPeer returns the address of a random daemon among those named that are not avoided.
func (f *fleet) randomPeer(names []string) (string, bool) {
	view := f.members.View()
	var from []string
	for _, name := range names {
		if m, ok := view.Member(name); ok && m.Name != view.Self && !f.avoided(m.PeerAddress) {
			from = append(from, m.PeerAddress)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return pickRandom(f.random, from)
}

// upstreamPullShare is the fraction of the pulls from daemons other than the parent that go to
// daemons upstream in the tree; the rest go to any daemon. If a change was lost near the root of
// the tree, most of the upstream daemons do not have it either.
const upstreamPullShare = 0.5

// avoidDuration is how long nothing is pulled from a daemon after a failed pull.
const avoidDuration = 2 * time.Second

// avoid records a failed pull from a daemon.
func (f *fleet) avoid(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failed[address] = time.Now()
}

// avoided reports whether a pull from a daemon has failed within avoidDuration.
func (f *fleet) avoided(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	at, ok := f.failed[address]
	if ok && time.Since(at) > avoidDuration {
		delete(f.failed, address)
		return false
	}
	return ok
}

// maxPullWait limits how long a pull request of another daemon may wait for changes.
const maxPullWait = 5 * time.Second

// pullServer serves this daemon's copies to other daemons.
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
		Era: revision.Era(p.Changes.Revision), Revision: revision.Counter(p.Changes.Revision), Full: p.Full, Failing: p.Failing, AfterOutage: p.AfterOutage, Removed: p.Changes.Removed,
		ConfirmedMsAgo: uint32(min(p.Age.Milliseconds(), math.MaxUint32)), NextPart: uint32(p.NextPart),
		Names: p.Names, AllNamed: p.Names != nil,
	}
	answer.Items = encodeItems(p.Changes.Changed)
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
func (s pullServer) pull(ctx context.Context, follower *follow.Follower, r *bronzeturnv1.PullRequest) *follow.PullResponse {
	if r.GetPart() > 0 {
		return follower.Part(int(r.GetPart()))
	}
	wait := min(time.Duration(r.GetWaitMs())*time.Millisecond, maxPullWait)
	after := afterRevision(follower, r)
	p := follower.AwaitChanges(ctx, after, wait)
	if p != nil && (p.NextPart > 0 && !r.GetParts() || p.Names != nil && !r.GetNames()) {
		p = follower.ChangesSinceInOnePart(after) // The client does not support such a response.
	}
	return p
}

// afterRevision returns the revision after which a request asks for changes. A client that knows no
// eras has copies of the current one.
func afterRevision(follower *follow.Follower, r *bronzeturnv1.PullRequest) uint64 {
	era := r.GetAfterEra()
	if s := follower.Snapshot(); !r.GetEras() && r.GetAfterRevision() > 0 && s != nil {
		era = revision.Era(s.Revision)
	}
	return revision.In(era, r.GetAfterRevision())
}

// errNoCopy reports that this daemon has no copy of the kind.
var errNoCopy = errors.New("no copy of this kind")
