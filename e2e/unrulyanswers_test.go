package e2e

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/demo"
	"github.com/bronzeturn/bronzeturn/platform/emulator"
	"github.com/bronzeturn/bronzeturn/standin"
)

const (
	// answerCallers is the number of callers of backend servers whose answers never end.
	answerCallers = 60
	// answersFor is how long they call.
	answersFor = 5 * time.Second
)

// callWithoutEnd makes calls from many callers until the returned function is called, which waits for
// the calls in progress.
func callWithoutEnd(call func(caller, number int)) (stop func()) {
	var stopped atomic.Bool
	var calling sync.WaitGroup
	for i := range answerCallers {
		calling.Go(func() {
			for n := 0; !stopped.Load(); n++ {
				call(i, n)
			}
		})
	}
	return func() {
		stopped.Store(true)
		calling.Wait()
	}
}

// endlessChat is a daemon of the chat API with low limits, whose engines or plain service are to answer
// without end.
type endlessChat struct {
	*unrulyTarget
	deployment *deployment
}

// startEndlessChat starts the daemon. Its ordinary requests go to the backend servers that are not at
// fault.
func startEndlessChat(t *testing.T, engineFault bool) *endlessChat {
	c := qt.New(t)
	setLowLimits(c)
	d := deploy(c, 1, 8)
	daemon := d.daemons[0]
	var next atomic.Int64
	answered := func() bool {
		return callService(c, daemon.callers, fmt.Sprintf("ordinary-%d", next.Add(1))).Status == http.StatusOK
	}
	if !engineFault {
		chat := demo.Chat{Key: key, Prompt: "ordinary"}
		answered = func() bool { return send(chat, daemon.callers).Check(chat) == nil }
	}
	return &endlessChat{deployment: d, unrulyTarget: &unrulyTarget{
		c: c, process: daemon.process, callers: daemon.callers, answered: answered, largest: func() bool { return true },
	}}
}

// withstandsEngines checks that the daemon withstands engines with a fault while callers send chat requests.
func (e *endlessChat) withstandsEngines(faults standin.Faults, chat demo.Chat) {
	e.withstandsAll(func() func() {
		for _, address := range e.deployment.engineAddresses {
			setFaults(e.c, address, faults)
		}
		stop := callWithoutEnd(func(caller, number int) {
			own := chat
			own.Prompt = fmt.Sprintf("%d of %d", number, caller)
			if own.Kind == "tag" {
				own.IdempotencyKey = fmt.Sprintf("tag-%d-%d", caller, number)
			}
			send(own, e.callers)
		})
		time.Sleep(answersFor)
		return func() {
			for _, address := range e.deployment.engineAddresses {
				setFaults(e.c, address, standin.Faults{})
			}
			stop()
		}
	})
}

// TestUnrulyEngineEndlessHeaders guards against header lines that are kept up to a limit of the HTTP
// library which does not know the memory of the process.
func TestUnrulyEngineEndlessHeaders(t *testing.T) {
	startEndlessChat(t, true).withstandsEngines(standin.Faults{Endless: standin.EndlessHeader}, demo.Chat{Key: key})
}

// TestUnrulyEngineEndlessBodies guards against bodies that are read outside of the account of memory.
func TestUnrulyEngineEndlessBodies(t *testing.T) {
	startEndlessChat(t, true).withstandsEngines(standin.Faults{Endless: standin.EndlessBody}, demo.Chat{Key: key})
}

// TestUnrulyEngineEndlessEvent guards against an event that is read outside of the account of memory.
func TestUnrulyEngineEndlessEvent(t *testing.T) {
	startEndlessChat(t, true).withstandsEngines(standin.Faults{Endless: standin.EndlessEvent}, demo.Chat{Key: key, Stream: true})
}

// TestUnrulyEngineEndlessEvents guards against a record of a claimed answer that grows with the answer.
func TestUnrulyEngineEndlessEvents(t *testing.T) {
	startEndlessChat(t, true).withstandsEngines(standin.Faults{Endless: standin.EndlessEvents}, demo.Chat{Key: key, Stream: true, Kind: "tag"})
}

// TestUnrulyEngineBlankLines guards against tiny events that are kept at many times their size.
func TestUnrulyEngineBlankLines(t *testing.T) {
	startEndlessChat(t, true).withstandsEngines(standin.Faults{Endless: standin.EndlessBlankLines}, demo.Chat{Key: key, Stream: true, Kind: "checked"})
}

// TestUnrulyEngineEndlessReports guards against load reports that are read outside of a bound.
func TestUnrulyEngineEndlessReports(t *testing.T) {
	startEndlessChat(t, true).withstandsEngines(standin.Faults{EndlessReports: true}, demo.Chat{Key: key})
}

// TestUnrulyServiceEndlessBodies guards against answers of plain services that are read outside of the
// account of memory.
func TestUnrulyServiceEndlessBodies(t *testing.T) {
	e := startEndlessChat(t, false)
	e.withstandsAll(func() func() {
		setFaults(e.c, e.deployment.service, standin.Faults{Endless: standin.EndlessBody})
		stop := callWithoutEnd(func(caller, number int) {
			callService(e.c, e.callers, fmt.Sprintf("endless-%d-%d", caller, number))
		})
		time.Sleep(answersFor)
		return func() {
			setFaults(e.c, e.deployment.service, standin.Faults{})
			stop()
		}
	})
}

// TestUnrulyEntryEndlessAnswers guards against endless answers of all kinds that meet a daemon whose
// memory clients already use.
func TestUnrulyEntryEndlessAnswers(t *testing.T) {
	u, f := startUnrulyFleet(t, len(emulator.EndlessKinds))
	u.answered, u.largest = func() bool { return f.postStream(0).status == http.StatusOK }, func() bool { return true }
	u.withstandsAll(func() func() {
		setEndless := func(kind func(i int) emulator.Endless) {
			for i, e := range f.engines {
				if e.Spec.Service == "desk" {
					e.SetFaults(emulator.EngineFaults{Endless: kind(i)})
				}
			}
		}
		setEndless(func(i int) emulator.Endless { return emulator.EndlessKinds[i%len(emulator.EndlessKinds)] })
		targets := []string{"/safe/x", "/once/x"}
		stop := callWithoutEnd(func(caller, number int) { f.send(0, http.MethodPost, targets[(caller+number)%len(targets)]) })
		leave := u.enter(u.shortBodies(), u.unreadAnswers())
		time.Sleep(answersFor)
		return func() {
			setEndless(func(int) emulator.Endless { return "" })
			leave()
			stop()
		}
	})
}

// TestUnrulyStoreEndlessAnswers guards against answers of the store that are read outside of a bound
// which knows the memory of the process.
func TestUnrulyStoreEndlessAnswers(t *testing.T) {
	u, f := startUnrulyFleet(t, 2)
	u.withstandsAll(func() func() {
		f.store.SetFaults(emulator.StoreFaults{Endless: true})
		time.Sleep(2 * answersFor)
		return func() { f.store.SetFaults(emulator.StoreFaults{}) }
	})
}

// TestUnrulyOutsideEndlessAnswers is that test for the store, the host list and the rating service of the
// chat edge.
func TestUnrulyOutsideEndlessAnswers(t *testing.T) {
	e := startEndlessChat(t, false)
	outside := []string{e.deployment.store, e.deployment.hosts, e.deployment.rating}
	e.withstandsAll(func() func() {
		for _, address := range outside {
			setFaults(e.c, address, standin.Faults{EndlessReports: true, Endless: standin.EndlessBody})
		}
		time.Sleep(2 * answersFor)
		return func() {
			for _, address := range outside {
				setFaults(e.c, address, standin.Faults{})
			}
		}
	})
}
