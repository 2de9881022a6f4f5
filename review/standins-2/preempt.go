package main

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// Load and times of the case. Times are those after the SIGTERM.
const (
	preemptLead     = 14 * time.Second
	preemptInterval = 30 * time.Millisecond
	lateFrom        = 3050 * time.Millisecond
	lateInterval    = 40 * time.Millisecond
	lateRequests    = 6
	largeAt         = 3350 * time.Millisecond
	largeRequests   = 6
)

// preemptCase stops a daemon. Some of its clients still send to it more than 3 s later, and then large requests
// of a more urgent route, to other daemons, take the engines' memory for some seconds. It checks that what the
// stopping daemon has passed on gets a complete answer.
func preemptCase(t *trial) (broken bool, err error) {
	t.framed = true
	work := &runs{last: make(map[string]time.Time), ends: make(map[string]int)}
	t.onSay = func(s *supervisor, what, id string) {
		t.journal.line("engine %s: %s %s", s.spec.ID, what, id)
		work.said(what, id)
	}
	t.store.put("config", "main", configuration())
	if err := t.startEngines("bronze-pool", "v1", 3, 32); err != nil {
		return false, err
	}
	if err := t.startDaemons(3); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // All machines are in touch.
	var mu sync.Mutex
	var late []outcome
	var clients sync.WaitGroup
	send := func(d *daemon, path, tokens string, note func(o outcome)) {
		clients.Go(func() {
			o := outcome{sent: time.Now(), daemon: d}
			o.reply = t.send(d, "POST", path, probeDeadline, "prompt", wire.Tokens, tokens, "Model", "daka510000", wire.Prefix, "5c1e07a2:100")
			o.ended = time.Now()
			t.journal.line("client gets %s: status %d, %d bytes, error %v", o.reply.id, o.reply.status, len(o.reply.body), o.reply.err)
			if note != nil {
				note(o)
			}
		})
	}
	usual := func(until time.Time, daemons []*daemon) {
		for ; time.Now().Before(until); time.Sleep(preemptInterval) {
			send(daemons[rand.IntN(len(daemons))], "/pufi791/2f", "100,100", nil)
		}
	}
	usual(time.Now().Add(preemptLead), t.daemons)
	stopping, stopped := t.daemons[2], time.Now()
	if t.trouble {
		t.journal.line("SIGTERM to %s", stopping.name)
		_ = stopping.cmd.Process.Signal(syscall.SIGTERM)
	}
	usual(stopped.Add(2*time.Second), t.daemons) // Clients keep addresses for some seconds.
	usual(stopped.Add(lateFrom), t.daemons[:2])
	for range lateRequests {
		send(stopping, "/pufi791/2f", "100,100", func(o outcome) {
			mu.Lock()
			late = append(late, o)
			mu.Unlock()
		})
		time.Sleep(lateInterval)
	}
	time.Sleep(time.Until(stopped.Add(largeAt)))
	for i := range largeRequests {
		send(t.daemons[i%2], "/fuyo200/2f", "20000,900", nil)
	}
	usual(stopped.Add(probeGrace), t.daemons[:2])
	clients.Wait()
	for _, o := range late {
		_, passedOn := work.last[o.reply.id]
		t.journal.line("late request %s, sent %.3f s after the SIGTERM: passed on %t, status %d, ends after %.3f s, error %v",
			o.reply.id, o.sent.Sub(stopped).Seconds(), passedOn, o.reply.status, o.ended.Sub(stopped).Seconds(), o.reply.err)
		if t.trouble && passedOn && o.reply.err != nil {
			t.judgeStop(o, stopped, work)
		}
	}
	return t.broken > 0, nil
}
