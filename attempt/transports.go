package attempt

import (
	"net/http"
	"sync"
)

// Transports is an http.RoundTripper with one Transport per host, so that the idle
// connections to one host can be closed separately. It never removes the transport of a
// host; hosts must come from a bounded set, such as the register.
type Transports struct {
	template *http.Transport
	byHost   sync.Map // of string to *Transport
}

// NewTransports returns a Transports whose transports have the settings of a template.
func NewTransports(template *http.Transport) *Transports {
	return &Transports{template: template}
}

// RoundTrip implements http.RoundTripper.
func (t *Transports) RoundTrip(r *http.Request) (*http.Response, error) {
	return t.forHost(r.URL.Host).RoundTrip(r)
}

// forHost returns the transport of a host, and creates it if there is none.
func (t *Transports) forHost(host string) *Transport {
	if known, ok := t.byHost.Load(host); ok {
		return known.(*Transport)
	}
	known, _ := t.byHost.LoadOrStore(host, NewTransport(t.template))
	return known.(*Transport)
}

// DropIdle closes the idle connections to host, which includes the port.
func (t *Transports) DropIdle(host string) {
	if known, ok := t.byHost.Load(host); ok {
		known.(*Transport).CloseIdleConnections()
	}
}

// CloseIdleConnections closes the idle connections to all hosts.
func (t *Transports) CloseIdleConnections() {
	t.byHost.Range(func(_, known any) bool {
		known.(*Transport).CloseIdleConnections()
		return true
	})
}
