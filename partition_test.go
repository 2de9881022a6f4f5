package bronzeturn_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/demo"
	"github.com/bronzeturn/bronzeturn/examples"
)

// cuttableLinks are the links of one daemon to some addresses.
type cuttableLinks struct {
	// cut holds the function that replaces connections to the addresses, nil while they work.
	cut       atomic.Pointer[func(ctx context.Context) (net.Conn, error)]
	addresses map[string]bool
}

// dial opens a connection over the links.
func (l *cuttableLinks) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if cut := l.cut.Load(); cut != nil && l.addresses[address] {
		return (*cut)(ctx)
	}
	return (&net.Dialer{Timeout: time.Second}).DialContext(ctx, network, address)
}

// backendAddresses returns the addresses of all engines and plain services.
func backendAddresses(p *demo.Platform) map[string]bool {
	addresses := make(map[string]bool)
	for _, e := range p.Register.GetEngines() {
		addresses[e.GetAddress()] = true
	}
	for _, s := range p.Register.GetServices() {
		for _, i := range s.GetInstances() {
			addresses[i.GetAddress()] = true
		}
	}
	return addresses
}

// callService calls a plain service through a daemon and returns the status of the answer.
func callService(c *qt.C, address string, number int) int {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/services/ticket-desk/open", strings.NewReader("{}"))
	c.Assert(err, qt.IsNil)
	req.Header.Set("Authorization", "Bearer key-oficina-central")
	req.Header.Set("Idempotency-Key", fmt.Sprintf("ticket-%d", number))
	resp, err := http.DefaultClient.Do(req)
	c.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	c.Check(err, qt.IsNil)
	return resp.StatusCode
}

// TestPartitionedChatDaemonServesCallers guards against a daemon that refuses its callers while
// only its own links to the engines and the plain services are cut.
func TestPartitionedChatDaemonServesCallers(t *testing.T) {
	for name, cut := range map[string]func(ctx context.Context) (net.Conn, error){
		"refused": func(context.Context) (net.Conn, error) {
			return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
		},
		"silent": func(ctx context.Context) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, time.Second)
			defer cancel()
			<-ctx.Done()
			return nil, &net.OpError{Op: "dial", Err: ctx.Err()}
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			p, err := demo.StartPlatform(examples.CampinaVerde, 3)
			c.Assert(err, qt.IsNil)
			c.Cleanup(p.Stop)
			c.Assert(p.Publish(context.Background()), qt.IsNil)
			links := &cuttableLinks{addresses: backendAddresses(p)}
			f, err := demo.StartFleet(p, demo.FleetOptions{Daemons: 3, Log: io.Discard, Dial: func(number int) func(ctx context.Context, network, address string) (net.Conn, error) {
				if number == 0 {
					return links.dial
				}
				return (&net.Dialer{Timeout: time.Second}).DialContext
			}})
			c.Assert(err, qt.IsNil)
			c.Cleanup(func() { c.Check(f.Stop(), qt.IsNil) })
			ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
			defer cancel()
			c.Assert(f.WaitReady(ctx), qt.IsNil)

			links.cut.Store(&cut)
			served := 0
			const requests = 30
			for i := range requests {
				chat := demo.Chat{Key: "key-dock-kiosks", Kind: "quick", Prompt: fmt.Sprintf("battery of bike %d?", i), Stream: i%2 == 0}
				got := chat.Send(ctx, http.DefaultClient, f.Daemons[0].CallerAddress())
				if got.Err == nil && got.Status == http.StatusOK && got.Check(chat) == nil {
					served++
				}
				if callService(c, f.Daemons[0].CallerAddress(), i) == http.StatusOK {
					served++
				}
			}
			c.Check(served*3 >= 2*2*requests, qt.IsTrue, qt.Commentf("%d of %d requests served", served, 2*requests))
		})
	}
}
