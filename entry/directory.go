package entry

import (
	"net/http"
	"strings"

	"github.com/uptrace/bunrouter"

	"github.com/bronzeturn/bronzeturn/membership"
)

// AddressQuestion is a caller's question where to connect.
type AddressQuestion struct {
	// Region is the caller's, "" if it does not say.
	Region string
}

// directoryHandler answers which addresses to use.
func (d *Daemon) directoryHandler() http.Handler {
	mux := bunrouter.New()
	mux.GET(d.Documents.AddressesPath(), func(w http.ResponseWriter, r bunrouter.Request) error {
		list := d.fleet.addresses(d.Documents.AddressQuestion(r.Request))
		if len(list) == 0 {
			w.WriteHeader(http.StatusServiceUnavailable)
			return nil
		}
		return d.Documents.AnswerAddresses(w, list, d.current.Load().AddressTTL.Seconds())
	})
	return mux
}

// addresses returns the caller addresses of the daemons that take requests, in random
// order.
func (f *fleet) addresses(q AddressQuestion) []string {
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

// addressesFor returns the addresses for a caller: those of the daemons in its own region,
// so that what it sends leaves the region only where an engine elsewhere is to work on it,
// or all while none there takes requests.
func addressesFor(q AddressQuestion, members []membership.Member, ready, regions map[string]string) []string {
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
