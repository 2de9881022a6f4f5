package admission

import (
	"hash/maphash"
	"sync"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// accountShards is the number of shards, each with its own lock, of a daemon's
// accounts.
const accountShards = 64

// accountShard holds the accounts of some organisations under one lock.
type accountShard struct {
	mu       sync.Mutex
	accounts map[string]*account
	_        [40]byte // padding that keeps the locks on separate cache lines
}

var shardSeed = maphash.MakeSeed()

func newAccountShards() []accountShard {
	shards := make([]accountShard, accountShards)
	for i := range shards {
		shards[i].accounts = make(map[string]*account)
	}
	return shards
}

// shard returns the shard of an organisation.
func (c *Controller) shard(organisation string) *accountShard {
	return &c.shards[maphash.String(shardSeed, organisation)%accountShards]
}

// SetLimits applies limits, given the number of live daemons. Counts and spend of
// organisations whose limit changed are kept, and their shares are scaled in
// proportion until the next report. Organisations without a limit are not
// bounded.
func (c *Controller) SetLimits(limits []*bronzeturnv1.Limit, liveDaemons int) {
	live := max(liveDaemons, 1)
	c.live.Store(int64(live))
	wanted := make(map[string]amounts, len(limits))
	for _, l := range limits {
		if a := limitAmounts(l); a.any() {
			wanted[l.GetOrganisation()] = a
		}
	}
	for i := range c.shards {
		c.shards[i].dropExcept(wanted)
	}
	for organisation, limit := range wanted {
		c.shard(organisation).set(organisation, limit, live)
	}
	c.fleet.setLimits(wanted, live)
}

// dropExcept removes the accounts of organisations that are not in wanted.
// Tickets issued earlier still settle on the removed account.
func (s *accountShard) dropExcept(wanted map[string]amounts) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for organisation := range s.accounts {
		if _, ok := wanted[organisation]; !ok {
			delete(s.accounts, organisation)
		}
	}
}

// set applies the limit of an organisation.
func (s *accountShard) set(organisation string, limit amounts, live int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.accounts[organisation]
	if a == nil {
		a = &account{organisation: organisation}
		s.accounts[organisation] = a
	}
	a.live = live
	if a.limit != limit {
		equal := limit.equalPart(live)
		a.share.rescale(&a.limit, &limit, &equal)
		a.limit = limit
	}
}

// eachAccount calls visit for every account with the lock of its shard held.
func (c *Controller) eachAccount(visit func(a *account)) {
	for i := range c.shards {
		shard := &c.shards[i]
		shard.mu.Lock()
		for _, a := range shard.accounts {
			visit(a)
		}
		shard.mu.Unlock()
	}
}

// rescale scales a share with its limit, so that the shares of all daemons add
// up to at most the new limit. A dimension that was not limited before starts
// with the equal part.
func (s *share) rescale(before, after, equal *amounts) {
	for d := range s.granted {
		if before.limited(d) {
			s.granted[d] *= after[d] / before[d]
		} else {
			s.granted[d] = equal[d]
		}
	}
}
