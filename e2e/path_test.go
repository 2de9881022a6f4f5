package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/callerapi"
	"github.com/bronzeturn/bronzeturn/demo"
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/standin"
)

// send sends a request on a new connection.
func send(chat demo.Chat, address string) demo.Result {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: waitLimit}
	return chat.Send(context.Background(), client, address)
}

// TestWholePathThroughProcesses sends chat requests and a service call through the daemons, and
// checks the answers, the chosen versions, the bills and the reported state of the fleet.
func TestWholePathThroughProcesses(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	d := deploy(c, 3, 2)

	addresses := entriesOf(c, d.daemons[0])
	answered := uint64(0)
	for i, address := range addresses {
		for _, stream := range []bool{false, true} {
			chat := demo.Chat{Key: key, Prompt: fmt.Sprintf("bike %d, stream %v", i, stream), Stream: stream}
			got := send(chat, address)
			c.Assert(got.Check(chat), qt.IsNil, qt.Commentf("%d %s", got.Status, got.Body))
			c.Assert(got.Header.Get(callerapi.HeaderVersion), qt.Equals, cheap)
			answered++
		}
	}
	report := demo.Chat{Key: key, Kind: "report", Prompt: "motor 4"}
	got := send(report, addresses[0])
	c.Assert(got.Check(report), qt.IsNil)
	c.Assert(got.Header.Get(callerapi.HeaderVersion), qt.Equals, strong)
	answered++

	c.Assert(callService(c, d.daemons[1].callers, "ticket-1").Status, qt.Equals, http.StatusOK)
	answered++
	eventually(c, "a bill for each answer", func() bool { return d.billCount(c, d.daemons[2].operators) == answered })

	status := statusOf(c, d.daemons[0])
	c.Assert(status.GetConfiguration().GetProgress(), qt.Equals, bronzeturnv1.ConfigurationProgress_CONFIGURATION_PROGRESS_IN_FORCE)
	c.Assert(status.GetDaemons(), qt.HasLen, len(d.daemons))
	for i, daemon := range status.GetDaemons() {
		c.Assert(daemon.GetName(), qt.Equals, d.daemons[i].name)
		c.Assert(daemon.GetGenerationInForce(), qt.Equals, uint64(1))
	}
}

// callService calls the non-idempotent service of the deployment.
func callService(c *qt.C, address, idempotencyKey string) demo.Result {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+callerapi.PathServices+"tickets/open", strings.NewReader("{}"))
	c.Assert(err, qt.IsNil)
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set(callerapi.HeaderIdempotencyKey, idempotencyKey)
	resp, err := http.DefaultClient.Do(req)
	c.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	c.Assert(err, qt.IsNil)
	return demo.Result{Status: resp.StatusCode, Header: resp.Header, Body: body}
}

func TestSameKeyAtAllDaemonsRunsOnce(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	d := deployWith(c, longClaimPatience)
	chat := demo.Chat{Key: key, Kind: "tag", IdempotencyKey: "tag-1", Prompt: "crate 9"}
	results := make([]demo.Result, 9)
	var sending sync.WaitGroup
	for i := range results {
		sending.Go(func() { results[i] = send(chat, d.daemons[i%3].callers) })
	}
	sending.Wait()
	for _, got := range results {
		c.Assert(got.Check(chat), qt.IsNil, qt.Commentf("%d %s", got.Status, got.Body))
	}
	c.Assert(total(d.executions(c)), qt.Equals, 1)
	eventually(c, "one bill", func() bool { return d.billCount(c, d.daemons[0].operators) == 1 })
}

func TestAnsweredRequestsAreBilledAfterTheirDaemonIsKilled(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	d := deploy(c, 3, 2)
	const requests = 30
	for i := range requests {
		chat := demo.Chat{Key: key, Prompt: fmt.Sprintf("check %d", i), Stream: i%2 == 0}
		c.Assert(send(chat, d.daemons[0].callers).Check(chat), qt.IsNil)
	}
	d.daemons[0].kill()
	eventually(c, "a bill for each answer", func() bool { return d.billCount(c, d.daemons[1].operators) == requests })
	chat := demo.Chat{Key: key, Prompt: "after the kill"}
	c.Assert(send(chat, d.daemons[1].callers).Check(chat), qt.IsNil)
	eventually(c, "killed daemon no longer listed", func() bool {
		return !strings.Contains(strings.Join(entriesOf(c, d.daemons[1]), " "), d.daemons[0].callers)
	})
}

// entriesOf returns the addresses of daemons that a daemon tells callers to use.
func entriesOf(c *qt.C, d *daemon) []string {
	resp, err := http.Get("http://" + d.callers + callerapi.PathEntries)
	c.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	var entries callerapi.Entries
	c.Assert(json.NewDecoder(resp.Body).Decode(&entries), qt.IsNil)
	c.Assert(entries.KeepSeconds > 0, qt.IsTrue)
	return entries.Addresses
}

func TestSIGTERMLetsTheRunningStreamFinish(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	d := deploy(c, 2, 1)
	// The engine is slow, so that the stream is still running when the daemon starts to stop.
	setFaults(c, d.engineAddresses[0], standin.Faults{RateFactor: 0.02})
	chat := demo.Chat{Key: key, Prompt: "a long story", Stream: true}
	req, err := chat.NewRequest(context.Background(), d.daemons[0].callers)
	c.Assert(err, qt.IsNil)
	resp, err := http.DefaultClient.Do(req)
	c.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	c.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
	c.Assert(d.daemons[0].cmd.Process.Signal(syscall.SIGTERM), qt.IsNil)

	// A request without a key is answered at once, both before and during the stop.
	late := demo.Chat{Prompt: "late"}
	var refused demo.Result
	eventually(c, "new work refused", func() bool {
		refused = send(late, d.daemons[0].callers)
		return refused.Failure().Code == "daemon_leaving"
	})
	c.Assert(refused.Failure().Ran, qt.Equals, "no")
	c.Assert(refused.Failure().Entries, qt.DeepEquals, []string{d.daemons[1].callers})
	eventually(c, "other daemon knows that it is leaving", func() bool { return len(entriesOf(c, d.daemons[1])) == 1 })
	c.Assert(entriesOf(c, d.daemons[1]), qt.DeepEquals, []string{d.daemons[1].callers})

	setFaults(c, d.engineAddresses[0], standin.Faults{})
	body, err := io.ReadAll(resp.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(demo.Result{Body: body}.Check(chat), qt.IsNil)
	c.Assert(d.daemons[0].waitExit(c), qt.Equals, 0)
	c.Assert(d.billCount(c, d.daemons[1].operators) >= 1, qt.IsTrue)
}

func TestRequestRunsOnceWhenTheClaimHolderFreezes(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	d := deploy(c, 3, 1)
	setFaults(c, d.engineAddresses[0], standin.Faults{SlowMillis: 1500})
	chat := demo.Chat{Key: key, Kind: "tag", IdempotencyKey: "frozen", Prompt: "ticket 3"}
	first := make(chan demo.Result, 1)
	go func() { first <- send(chat, d.daemons[0].callers) }()
	eventually(c, "request at the engine", func() bool { return strings.Contains(d.daemons[0].output(), "engine chosen") })
	c.Assert(d.daemons[0].cmd.Process.Signal(syscall.SIGSTOP), qt.IsNil)

	chat2 := chat
	got := send(chat2, d.daemons[1].callers)
	c.Assert(got.Err, qt.IsNil)
	code := got.Failure().Code
	c.Assert(code == "request_in_progress" || code == "outcome_unknown", qt.IsTrue, qt.Commentf("%d %s", got.Status, got.Body))
	c.Assert(got.Failure().Ran, qt.Equals, "unknown")

	c.Assert(d.daemons[0].cmd.Process.Signal(syscall.SIGCONT), qt.IsNil)
	select {
	case <-first:
	case <-time.After(waitLimit):
		c.Fatal("the frozen daemon did not answer after it resumed")
	}
	for _, daemon := range d.daemons {
		_ = send(chat, daemon.callers)
	}
	c.Assert(total(d.executions(c)), qt.Equals, 1)
}

func TestStoreOutage(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	d := deployInOutage(c)

	const requests = 10
	for i := range requests {
		chat := demo.Chat{Key: key, Prompt: fmt.Sprintf("during %d", i)}
		got := send(chat, d.daemons[i%3].callers)
		c.Assert(got.Check(chat), qt.IsNil, qt.Commentf("%d %s", got.Status, got.Body))
	}
	tag := demo.Chat{Key: key, Kind: "tag", IdempotencyKey: "outage", Prompt: "tag"}
	refused := send(tag, d.daemons[1].callers)
	c.Assert(refused.Failure().Code, qt.Equals, "ledger_unavailable", qt.Commentf("%d %s", refused.Status, refused.Body))
	c.Assert(refused.Failure().Ran, qt.Equals, "no")
	c.Assert(refused.Header.Get("Retry-After"), qt.Not(qt.Equals), "")

	// A daemon that answered some of the requests is killed before the store is back. The other
	// daemons must write its bills.
	d.daemons[0].kill()
	setFaults(c, d.store, standin.Faults{})
	// deployInOutage had one more request served before the outage.
	eventually(c, "all bills drained", func() bool { return d.billCount(c, d.daemons[1].operators) == requests+1 })
	eventually(c, "tags accepted again", func() bool {
		got := send(tag, d.daemons[1].callers)
		return got.Check(tag) == nil
	})
	c.Assert(executionsOf(d.executions(c), requests+2), qt.IsTrue)
}

// executionsOf reports whether exactly this many requests ran, each of them once.
func executionsOf(executions map[string]int, requests int) bool {
	return len(executions) == requests && total(executions) == requests
}

func TestWithdrawnVersionGetsNoRequestsOnceInForce(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	d := deploy(c, 3, 2)
	out, code := runCLI("withdraw", cheap, "--reason", "turned bad", "--store", "http://"+d.store)
	c.Assert(code, qt.Equals, 0, qt.Commentf("%s", out))
	eventually(c, "withdrawal in force everywhere", func() bool {
		fleet := statusOf(c, d.daemons[0]).GetConfiguration()
		return fleet.GetGeneration() == 2 && fleet.GetProgress() == bronzeturnv1.ConfigurationProgress_CONFIGURATION_PROGRESS_IN_FORCE
	})
	for _, daemon := range d.daemons {
		named := send(demo.Chat{Key: key, Model: cheap, Prompt: "named"}, daemon.callers)
		c.Assert(named.Failure().Code, qt.Equals, "version_withdrawn")
		c.Assert(named.Failure().Ran, qt.Equals, "no")
		unnamed := demo.Chat{Key: key, Prompt: "any"}
		got := send(unnamed, daemon.callers)
		c.Assert(got.Check(unnamed), qt.IsNil)
		c.Assert(got.Header.Get(callerapi.HeaderVersion), qt.Equals, strong)
	}
}

// TestSilentConnectionsAreDroppedAndRetried guards against requests that fail because pooled
// connections to the engines have stopped carrying data without being closed.
func TestSilentConnectionsAreDroppedAndRetried(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	d := deploy(c, 1, 2)
	warm := demo.Chat{Key: key, Prompt: "warm"}
	for range 4 {
		c.Assert(send(warm, d.daemons[0].callers).Check(warm), qt.IsNil)
	}
	for _, address := range d.engineAddresses {
		setFaults(c, address, standin.Faults{SilenceConnections: true})
	}
	for i := range 4 {
		chat := demo.Chat{Key: key, Prompt: fmt.Sprintf("after silence %d", i), Stream: true}
		got := send(chat, d.daemons[0].callers)
		c.Assert(got.Check(chat), qt.IsNil, qt.Commentf("%d %s", got.Status, got.Body))
	}
}

func TestLeavingBackendGetsNoNewRequests(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	d := deploy(c, 2, 2)
	hosts := hostEntries(2, 2)
	for i := range hosts {
		if hosts[i].Name == backendName(0) {
			hosts[i].State = "leaving"
		}
	}
	putHosts(c, d.hosts, hosts)
	eventually(c, "all daemons know that the host is leaving", func() bool {
		leaving := 0
		for _, daemon := range statusOf(c, d.daemons[0]).GetDaemons() {
			for _, e := range daemon.GetEngines() {
				if e.GetHealth() == bronzeturnv1.EngineHealth_ENGINE_HEALTH_LEAVING {
					leaving++
				}
			}
		}
		return leaving == len(d.daemons)
	})
	before := executionsAt(c, d.engineAddresses[0])
	for i := range 20 {
		chat := demo.Chat{Key: key, Prompt: fmt.Sprintf("check %d", i)}
		c.Assert(send(chat, d.daemons[i%2].callers).Check(chat), qt.IsNil)
	}
	c.Assert(executionsAt(c, d.engineAddresses[0]), qt.Equals, before)
}
