package e2e

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/callerapi"
	"github.com/bronzeturn/bronzeturn/demo"
	"github.com/bronzeturn/bronzeturn/standin"
)

// TestLostStoreAnswersCauseNoSecondRunOrBill drops the store's answers to writes while several
// daemons write claims and bills.
func TestLostStoreAnswersCauseNoSecondRunOrBill(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	d := deploy(c, 3, 2)
	setFaults(c, d.store, standin.Faults{LoseAnswers: 12})
	const tags = 24
	ids := make([]string, tags)
	var sending sync.WaitGroup
	for i := range tags {
		tag := demo.Chat{Key: key, Kind: "tag", IdempotencyKey: fmt.Sprintf("tag-%d", i), Prompt: fmt.Sprintf("crate %d", i)}
		sending.Go(func() { ids[i] = sendUntilAnswered(c, d, tag, i) })
	}
	sending.Wait()
	c.Assert(faultsOf(c, d.store).LoseAnswers, qt.Equals, 0)
	executions := d.executions(c)
	c.Assert(executions, qt.HasLen, tags)
	c.Assert(total(executions), qt.Equals, tags)
	assertBilledOnce(c, d, ids)
	c.Assert(d.bills(c), qt.HasLen, tags)
}

// faultsOf returns the faults that are still pending at a stand-in.
func faultsOf(c *qt.C, address string) standin.Faults {
	resp, err := http.Get("http://" + address + standin.PathFaults)
	c.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	var faults standin.Faults
	c.Assert(json.NewDecoder(resp.Body).Decode(&faults), qt.IsNil)
	return faults
}

// sendUntilAnswered retries a request at the daemons in turn while it is refused as not run or
// in progress, and returns the request id of the answer.
func sendUntilAnswered(c *qt.C, d *deployment, tag demo.Chat, first int) string {
	id := ""
	attempt := first
	eventually(c, "tag answered", func() bool {
		got := send(tag, d.daemons[attempt%len(d.daemons)].callers)
		attempt++
		if got.Check(tag) == nil {
			id = got.Header.Get(callerapi.HeaderRequestID)
			return true
		}
		code := got.Failure().Code
		c.Check(code == "request_in_progress" || got.Failure().Ran == "no", qt.IsTrue, qt.Commentf("%d %s", got.Status, got.Body))
		return false
	})
	return id
}

// maxAttemptsPerRequest bounds the attempts per request while half of the engines fail.
const maxAttemptsPerRequest = 1.2

func TestHalfTheEnginesFailingDoesNotMultiplyAttempts(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	d := deploy(c, 2, 4)
	setFaults(c, d.engineAddresses[0], standin.Faults{Fail: true})
	setFaults(c, d.engineAddresses[1], standin.Faults{Refuse: true})
	const requests, senders = 240, 8
	answered := make([]int, senders)
	var sending sync.WaitGroup
	for s := range senders {
		sending.Go(func() {
			for i := range requests / senders {
				chat := demo.Chat{Key: key, Prompt: fmt.Sprintf("check %d %d", s, i)}
				if send(chat, d.daemons[s%2].callers).Check(chat) == nil {
					answered[s]++
				}
			}
		})
	}
	sending.Wait()
	attempts, sum := 0.0, 0
	for _, daemon := range d.daemons {
		attempts += metricSum(c, daemon, "bronzeturn_attempts_total")
	}
	for _, count := range answered {
		sum += count
	}
	c.Logf("%d requests, %.0f attempts, %d answered", requests, attempts, sum)
	c.Assert(attempts >= requests, qt.IsTrue, qt.Commentf("%.0f attempts", attempts))
	c.Assert(attempts/requests < maxAttemptsPerRequest, qt.IsTrue, qt.Commentf("%.0f attempts for %d requests", attempts, requests))
}

// metricSum returns the sum of a daemon's metric over all its label values.
func metricSum(c *qt.C, d *daemon, name string) float64 {
	resp, err := http.Get("http://" + d.admin + "/metrics")
	c.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	sum := 0.0
	for scanner := bufio.NewScanner(resp.Body); scanner.Scan(); {
		line := scanner.Text()
		if !strings.HasPrefix(line, name+"{") && !strings.HasPrefix(line, name+" ") {
			continue
		}
		value, err := strconv.ParseFloat(line[strings.LastIndexByte(line, ' ')+1:], 64)
		c.Assert(err, qt.IsNil)
		sum += value
	}
	return sum
}
