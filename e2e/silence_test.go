package e2e

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/demo"
	"github.com/bronzeturn/bronzeturn/standin"
)

// TestOnlyIdempotentRequestsAreRetriedWhenAnEngineGoesSilent silences the connections to
// the engines while they run a non-idempotent and two idempotent requests.
func TestOnlyIdempotentRequestsAreRetriedWhenAnEngineGoesSilent(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	var relays []*relay
	d := deployWith(c, deploymentSpec{daemons: 1, engines: 2, route: func(address string) string {
		relays = append(relays, startRelay(c, address))
		return relays[len(relays)-1].address
	}})
	for _, address := range d.engineAddresses {
		setFaults(c, address, standin.Faults{RateFactor: 0.05})
	}
	chats := []demo.Chat{
		{Key: key, Kind: "tag", IdempotencyKey: "silent", Prompt: "pallet"},
		{Key: key, Prompt: "first check", Stream: false},
		{Key: key, Prompt: "second check", Stream: false},
	}
	results := make([]demo.Result, len(chats))
	var sending sync.WaitGroup
	for i, chat := range chats {
		sending.Go(func() { results[i] = send(chat, d.daemons[0].callers) })
	}
	eventually(c, "all requests at engines", func() bool { return len(d.executions(c)) == len(chats) })
	for i, address := range d.engineAddresses {
		setFaults(c, address, standin.Faults{})
		c.Assert(relays[i].silenceConnections() > 0, qt.IsTrue)
	}
	sending.Wait()

	tag := results[0].Failure()
	c.Check(tag.Ran, qt.Equals, "unknown", qt.Commentf("%d %s", results[0].Status, results[0].Body))
	for i, got := range results[1:] {
		c.Check(got.Check(chats[i+1]), qt.IsNil, qt.Commentf("%d %s", got.Status, got.Body))
	}
	again := send(chats[0], d.daemons[0].callers)
	c.Check(again.Failure().Ran, qt.Equals, "unknown", qt.Commentf("%d %s", again.Status, again.Body))
	once := 0
	for _, count := range d.executions(c) {
		if count == 1 {
			once++
		}
	}
	c.Check(once, qt.Equals, 1, qt.Commentf("the tag alone ran once: %v", d.executions(c)))
}

// TestCallerThatStopsReadingFreesItsSlot fills the slots of an engine with streams whose
// callers stop reading without closing the connection. A further request must still be served.
func TestCallerThatStopsReadingFreesItsSlot(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	d := deployWith(c, deploymentSpec{daemons: 1, engines: 1, engineArgs: []string{"--answer-tokens", "60000"}})
	setFaults(c, d.engineAddresses[0], standin.Faults{RateFactor: 100})
	callers := startRelay(c, d.daemons[0].callers)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for i := range engineSlots {
		chat := demo.Chat{Key: key, Prompt: fmt.Sprintf("endless %d", i), Stream: true}
		req, err := chat.NewRequest(context.Background(), callers.address)
		c.Assert(err, qt.IsNil)
		resp, err := client.Do(req)
		c.Assert(err, qt.IsNil)
		defer resp.Body.Close()
		_, err = resp.Body.Read(make([]byte, 1))
		c.Assert(err, qt.IsNil)
	}
	c.Assert(callers.silenceConnections(), qt.Equals, engineSlots)
	chat := demo.Chat{Key: key, Prompt: "after the silence"}
	got := send(chat, callers.address)
	c.Assert(got.Check(chat), qt.IsNil, qt.Commentf("%d %.300s", got.Status, got.Body))
}
