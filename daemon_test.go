package bronzeturn_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/demo"
	"github.com/bronzeturn/bronzeturn/examples"
)

// waitLimit bounds waits for what has to happen; it is no measure of time.
const waitLimit = 30 * time.Second

// startFleet starts a platform and daemons that are ready.
func startFleet(c *qt.C, example string, daemons int) (*demo.Platform, *demo.Fleet) {
	p, err := demo.StartPlatform(example, daemons)
	c.Assert(err, qt.IsNil)
	c.Cleanup(p.Stop)
	c.Assert(p.Publish(context.Background()), qt.IsNil)
	f, err := demo.StartFleet(p, demo.FleetOptions{Daemons: daemons, Log: io.Discard})
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { c.Check(f.Stop(), qt.IsNil) })
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	c.Assert(f.WaitReady(ctx), qt.IsNil)
	return p, f
}

func TestChatIsAnsweredWholeAndStreamed(t *testing.T) {
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
