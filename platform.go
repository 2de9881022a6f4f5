package bronzeturn

import (
	"context"
	"net/http"
	"time"

	"github.com/bronzeturn/bronzeturn/attempt"
	"github.com/bronzeturn/bronzeturn/engine"
	"github.com/bronzeturn/bronzeturn/hostlist"
	"github.com/bronzeturn/bronzeturn/membership"
	"github.com/bronzeturn/bronzeturn/objectstore/httpstore"
	"github.com/bronzeturn/bronzeturn/plainservice"
	"github.com/bronzeturn/bronzeturn/rating"
	"github.com/bronzeturn/bronzeturn/weightstore"
)

// Bounds of connections to outside systems.
const (
	dialTimeout       = time.Second
	keepAliveInterval = 5 * time.Second
	idleTimeout       = 90 * time.Second
	// idlePerHost bounds the idle connections kept to one backend server.
	idlePerHost = 256
	// idleTotal bounds the idle connections kept in all.
	idleTotal = 4096
)

// platform holds the adapters of the outside systems.
type platform struct {
	store    *httpstore.Store
	hosts    *hostlist.Client
	ratings  *rating.Client
	weights  *weightstore.Client
	engines  *engine.Client
	reports  *engine.Reports
	services *plainservice.Client
}

// newPlatform builds the adapters. Ratings and weights are nil when the
// settings name none. Backend servers have a transport each, so that one whose
// connections went silent does not cost the others theirs.
func newPlatform(d *Daemon) *platform {
	transport := attempt.NewTransports(newTransport(d))
	client := &http.Client{Transport: newTransport(d)}
	p := &platform{
		store:    httpstore.New(d.settings.GetStoreUrl(), client),
		hosts:    hostlist.New(d.settings.GetHostListUrl(), client),
		engines:  engine.New(transport),
		reports:  engine.NewReports(transport),
		services: plainservice.New(transport),
	}
	if url := d.settings.GetRatingUrl(); url != "" {
		p.ratings = rating.New(url, client)
	}
	if url := d.settings.GetWeightStoreUrl(); url != "" {
		p.weights = weightstore.New(url, client)
	}
	return p
}

// newTransport returns the transport towards outside systems. It never asks a
// proxy of the environment.
func newTransport(d *Daemon) *http.Transport {
	return &http.Transport{
		Proxy:               nil,
		DialContext:         d.options.Dial,
		IdleConnTimeout:     idleTimeout,
		MaxIdleConns:        idleTotal,
		MaxIdleConnsPerHost: idlePerHost,
		DisableCompression:  true,
	}
}

// hostList adapts the host list to what membership needs.
type hostList struct {
	client *hostlist.Client
}

// Hosts implements membership.HostList.
func (h hostList) Hosts(ctx context.Context, known uint64) (membership.Hosts, bool, error) {
	list, changed, err := h.client.ListChanged(ctx, known)
	if err != nil || !changed {
		return membership.Hosts{}, false, err
	}
	converted := membership.Hosts{Revision: list.Revision}
	for _, host := range list.Hosts {
		converted.Hosts = append(converted.Hosts, membership.Host{
			Name:       host.Name,
			DataCentre: host.DataCentre,
			Entry:      host.Role == hostlist.RoleEntry,
			Leaving:    host.State == hostlist.StateLeaving,
			Revision:   host.Revision,
		})
	}
	return converted, true, nil
}
