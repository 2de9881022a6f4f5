package bronzeturn_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"connectrpc.com/connect"
	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/demo"
	"github.com/bronzeturn/bronzeturn/examples"
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/operator"
	"github.com/bronzeturn/bronzeturn/security"
)

// waitLimit bounds each wait. It is generous and asserts nothing about speed.
const waitLimit = 30 * time.Second

// startFleet starts a platform and daemons, and waits until these are ready. The
// daemons have no seeds and find each other through the store.
func startFleet(c *qt.C, example string, daemons int) (*demo.Platform, *demo.Fleet) {
	p, err := demo.StartPlatform(example, daemons)
	c.Assert(err, qt.IsNil)
	c.Cleanup(p.Stop)
	c.Assert(p.Publish(context.Background()), qt.IsNil)
	f, err := demo.StartFleet(p, demo.FleetOptions{Daemons: daemons, Log: io.Discard, WithoutSeeds: true})
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { c.Check(f.Stop(), qt.IsNil) })
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	c.Assert(f.WaitReady(ctx), qt.IsNil)
	return p, f
}

func TestChatIsAnsweredWithAndWithoutStreaming(t *testing.T) {
	c := qt.New(t)
	_, f := startFleet(c, examples.CampinaVerde, 1)
	for _, stream := range []bool{false, true} {
		request := demo.Chat{Key: "key-dock-kiosks", Kind: "quick", Prompt: "battery of bike 7?", Stream: stream}
		got := request.Send(context.Background(), http.DefaultClient, f.Daemons[0].CallerAddress())
		c.Assert(got.Err, qt.IsNil)
		c.Assert(got.Status, qt.Equals, http.StatusOK, qt.Commentf("%s", got.Body))
		c.Assert(got.Check(request), qt.IsNil)
	}
}

func TestEveryRoleHasExactlyOnePreferredDaemon(t *testing.T) {
	c := qt.New(t)
	p, f := startFleet(c, examples.Andina, 3)
	const shards = 16
	register := p.Register
	parts := shards + len(p.Rules.GetLimits()) + len(register.GetVersions()) + len(register.GetPools())
	holders := roleHolders(c, f)
	for limit := time.Now().Add(waitLimit); len(holders) < parts && time.Now().Before(limit); {
		// A daemon knows the shards only after it has read the ledger's layout.
		holders = roleHolders(c, f)
	}
	c.Assert(holders, qt.HasLen, parts)
	for part, count := range holders {
		c.Check(count, qt.Equals, 1, qt.Commentf("%s", part))
	}
}

// roleHolders returns the number of daemons that hold each part of each role.
func roleHolders(c *qt.C, f *demo.Fleet) map[string]int {
	holders := make(map[string]int)
	for _, d := range f.Daemons {
		client := operator.NewClient(plaintext, "http://"+d.OperatorAddress())
		answer, err := client.Status(context.Background(), connect.NewRequest(&bronzeturnv1.StatusRequest{LocalOnly: true}))
		c.Assert(err, qt.IsNil)
		for _, role := range answer.Msg.GetDaemons()[0].GetRoles() {
			for _, part := range role.GetParts() {
				holders[role.GetKind().String()+"/"+part]++
			}
		}
	}
	return holders
}

// plaintext is a client for HTTP/2 without TLS, which the operators' listener
// serves when --insecure-plaintext-operators is set.
var plaintext = &http.Client{Transport: security.NewTransport(nil, (&net.Dialer{}).DialContext)}
