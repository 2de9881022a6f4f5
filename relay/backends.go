package relay

import (
	"math/rand/v2"
	"slices"
	"sync"
)

// Backends are the backend servers to which connections may be opened. They must not be modified.
type Backends struct {
	// Addresses are IP addresses and ports.
	Addresses []string
	// DataCentres maps each address to its data centre.
	DataCentres map[string]string
}

// NewBackends returns Backends without any.
func NewBackends(size int) *Backends {
	return &Backends{Addresses: make([]string, 0, size), DataCentres: make(map[string]string, size)}
}

// Add adds a backend server. It must not be called once the Backends are in use.
func (b *Backends) Add(address, dataCentre string) {
	if _, known := b.DataCentres[address]; !known {
		b.Addresses = append(b.Addresses, address)
	}
	b.DataCentres[address] = dataCentre
}

// known reports whether there is a backend server at an address.
func (b *Backends) known(address string) bool {
	_, known := b.DataCentres[address]
	return known
}

// maxOthers is the maximum number of addresses that others returns, maxLinkChecks that of the
// backend servers that one check of the links connects to.
const (
	maxOthers     = 12
	maxLinkChecks = 4
)

// others returns a few random addresses of backend servers other than the given one.
func (b *Backends) others(address string, random *lockedRand) (others []string) {
	for range 2 * maxOthers {
		if len(b.Addresses) == 0 || len(others) == maxOthers {
			break
		}
		other := b.Addresses[random.intN(len(b.Addresses))]
		if other != address && !slices.Contains(others, other) {
			others = append(others, other)
		}
	}
	return others
}

// lockedRand is a random source that is safe for concurrent use.
type lockedRand struct {
	mu     sync.Mutex
	random *rand.Rand
}

// intN returns a random number in [0, n).
func (r *lockedRand) intN(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.IntN(n)
}

// shuffle randomises the order of n elements.
func (r *lockedRand) shuffle(n int, swap func(i, j int)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.random.Shuffle(n, swap)
}
