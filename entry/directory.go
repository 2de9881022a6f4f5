package entry

import (
	"net/http"
	"strings"

	"github.com/uptrace/bunrouter"

	"github.com/bronzeturn/bronzeturn/membership"
)

// AddressQuery is a caller's query for the addresses to connect to.
type AddressQuery struct {
	// Region is the region of the caller, or "" if the caller does not state it.
	Region string
}

// directoryHandler serves the addresses that callers should connect to.
func (d *Daemon) directoryHandler() http.Handler {
	mux := bunrouter.New()
	mux.GET(d.Documents.AddressesPath(), func(w http.ResponseWriter, r bunrouter.Request) error {
		list := d.fleet.addresses(d.Documents.AddressQuery(r.Request))
		if len(list) == 0 {
			w.WriteHeader(http.StatusServiceUnavailable)
			return nil
		}
		return d.Documents.WriteAddresses(w, list, d.current.Load().AddressTTL.Seconds())
	})
	return mux
}

// addresses returns the caller addresses of the daemons that accept requests, in random order.
func (f *fleet) addresses(q AddressQuery) []string {
	view := f.members.View()
	ready := make(map[string]string)
	f.members.Table().Each(readyPrefix, func(key string, _ uint64, value []byte) {
		ready[strings.TrimPrefix(key, readyPrefix)] = string(value)
	})
	list := addressesFor(q, view.Members, ready, f.daemon.Settings.Regions)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}

// addressesFor returns the addresses for a caller: those of the daemons in its own region, so
// that a request leaves the region only if it is sent to an engine elsewhere. If no daemon of
// the region accepts requests, or the region is unknown, it returns the addresses of all daemons
// that do.
func addressesFor(q AddressQuery, members []membership.Member, ready, regions map[string]string) []string {
	var near, all []string
	for _, m := range members {
		address := ready[m.Name]
		if m.State != membership.Live || address == "" {
			continue
		}
		all = append(all, address)
		if regions[m.DataCentre] == q.Region {
			near = append(near, address)
		}
	}
	if q.Region != "" && len(near) > 0 {
		return near
	}
	return all
}
