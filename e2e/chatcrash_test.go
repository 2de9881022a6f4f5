package e2e

import (
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/demo"
)

// crashPrompt makes the engine that starts to run it exit.
const crashPrompt = "this prompt ends engines"

// engineExits restarts engines at their addresses and records the times of their exits.
type engineExits struct {
	mu    sync.Mutex
	times []time.Time
}

// restartAfterExits restarts an engine one second after each of its exits, until stop is closed.
func (e *engineExits) restartAfterExits(c *qt.C, d *deployment, i int, stop <-chan struct{}) {
	args := []string{"--listen", d.engineAddresses[i], "engine", "--versions", cheap + "," + strong, "--slots", fmt.Sprint(engineSlots), "--tokens-per-second", "200", "--crash-on", crashPrompt}
	engine := d.engines[i]
	for {
		select {
		case <-engine.ended:
		case <-stop:
			return
		}
		e.mu.Lock()
		e.times = append(e.times, time.Now())
		e.mu.Unlock()
		time.Sleep(time.Second)
		engine = startProcess(c, "engine", "bronzeturn-standin", args...)
	}
}

// countLate returns how many engines exited later than detectionDelay after the first maxCrashes
// exits, and how many exited in all.
func (e *engineExits) countLate() (late, all int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, at := range e.times {
		if len(e.times) >= maxCrashes && at.After(e.times[maxCrashes-1].Add(detectionDelay)) {
			late++
		}
	}
	return late, len(e.times)
}

// TestCrashingChatRequestStaysQuarantinedWhenDaemonsAreKilled guards against a chat request
// that crashes one engine after the other: its caller repeats it at all daemons, while one
// daemon and later all of them are killed and restarted.
func TestCrashingChatRequestStaysQuarantinedWhenDaemonsAreKilled(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	d := deployWith(c, deploymentSpec{daemons: 3, engines: 6, engineArgs: []string{"--crash-on", crashPrompt}})
	stop := make(chan struct{})
	exits := &engineExits{}
	var restarting sync.WaitGroup
	for i := range d.engines {
		restarting.Go(func() { exits.restartAfterExits(c, d, i, stop) })
	}
	sendCrashing := func(times int) {
		for n := range times {
			send(demo.Chat{Key: key, Prompt: crashPrompt}, d.daemons[n%len(d.daemons)].callers)
			time.Sleep(200 * time.Millisecond)
		}
	}
	sendCrashing(8)
	d.daemons[0].kill()
	d.daemons = append(d.daemons[1:], d.restartDaemon(c, d.daemons[0].name))
	sendCrashing(25)
	killed := d.daemons
	for _, daemon := range killed {
		daemon.kill()
	}
	d.daemons = nil
	for _, daemon := range killed {
		d.startDaemon(c, daemon.name)
	}
	for _, daemon := range d.daemons {
		daemon.waitReady(c)
	}
	sendCrashing(25)
	close(stop)
	restarting.Wait()

	late, all := exits.countLate()
	t.Logf("%d engines exited, %d of them late", all, late)
	c.Check(all >= maxCrashes, qt.IsTrue, qt.Commentf("%d engines exited", all))
	c.Check(late <= maxLateArrivals, qt.IsTrue, qt.Commentf("%d engines exited late", late))
	for i, daemon := range d.daemons {
		chat := demo.Chat{Key: key, Prompt: fmt.Sprintf("harmless %d", i)}
		eventually(c, "harmless requests answered", func() bool { return send(chat, daemon.callers).Check(chat) == nil })
	}
}

// restartDaemon starts a daemon that was killed, without adding it to d.daemons, and waits until
// it is ready.
func (d *deployment) restartDaemon(c *qt.C, name string) *daemon {
	running := d.daemons
	daemon := d.startDaemon(c, name)
	d.daemons = running
	daemon.waitReady(c)
	return daemon
}
