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
	"github.com/bronzeturn/bronzeturn/overload"
	"github.com/bronzeturn/bronzeturn/plainservice"
	"github.com/bronzeturn/bronzeturn/rating"
	"github.com/bronzeturn/bronzeturn/weightstore"
)

// Time-outs and limits of connections to external systems.
const (
	dialTimeout       = time.Second
	keepAliveInterval = 5 * time.Second
	idleTimeout       = 90 * time.Second
	// maxIdlePerHost bounds the idle connections kept to one address.
	maxIdlePerHost = 256
	// maxIdleTotal bounds the idle connections of one transport.
	maxIdleTotal = 4096
)

// platform holds the clients of the external systems.
type platform struct {
	store    *httpstore.Store
	hosts    *hostlist.Client
	ratings  *rating.Client
	weights  *weightstore.Client
	engines  *engine.Client
	reports  *engine.ControlClient
	services *plainservice.Client
}

// newPlatform builds the clients. Those of the rating service and the weight store
// are nil when the settings name none. Each backend server has a transport of its
// own for reports and orders, so that closing the connections of an unresponsive one
// does not close those of others.
func newPlatform(d *Daemon) *platform {
	// Bytes beyond an answer belong to no request: requests of callers share no connections.
	requests := attempt.NewUnpooledTransport(d.dialBackend)
	client := newOutsideClient(d.options.Dial, memoryBytes(d.settings.GetMemoryBytes()))
	p := &platform{
		store:    httpstore.New(d.settings.GetStoreUrl(), client),
		hosts:    hostlist.New(d.settings.GetHostListUrl(), client),
		engines:  engine.New(requests),
		reports:  engine.NewControlClient(attempt.NewTransports(newTransport(d.dialBackend)), d.clients.Account()),
		services: plainservice.New(requests),
	}
	if url := d.settings.GetRatingUrl(); url != "" {
		p.ratings = rating.New(url, client)
	}
	if url := d.settings.GetWeightStoreUrl(); url != "" {
		p.weights = weightstore.New(url, client)
	}
	return p
}

// newOutsideClient returns the client of the store, the host list, the ratings and the weight store for a daemon
// with an amount of memory.
func newOutsideClient(dial attempt.DialFunc, memoryBytes int64) *http.Client {
	return &http.Client{Transport: overload.BoundAnswers(attempt.NewTransport(newTransport(dial)), memoryBytes)}
}

// newTransport returns the settings of a transport for external systems that opens connections
// with dial. It ignores the proxy settings of the environment.
func newTransport(dial attempt.DialFunc) *http.Transport {
	return &http.Transport{
		Proxy:                  nil,
		DialContext:            dial,
		IdleConnTimeout:        idleTimeout,
		MaxIdleConns:           maxIdleTotal,
		MaxIdleConnsPerHost:    maxIdlePerHost,
		MaxResponseHeaderBytes: attempt.MaxAnswerHeaderBytes,
		DisableCompression:     true,
	}
}

// hostList adapts the host list's client to membership.HostList.
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
