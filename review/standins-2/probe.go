package main

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// Load and times of the case.
const (
	probeClients  = 24
	probeLead     = 10 * time.Second
	probeGrace    = 8 * time.Second
	probeTail     = 4 * time.Second
	probeDeadline = 20 * time.Second
	// lastSixth is the begin of the last sixth of the grace period, lateSend the time after the SIGTERM until
	// which a request that is still at work then is excused.
	lastSixth = probeGrace * 5 / 6
	lateSend  = 3 * time.Second
)

// runs records when the engines began and ended to work on each request.
type runs struct {
	mu   sync.Mutex
	last map[string]time.Time
	ends map[string]int
}

func (r *runs) said(what, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last[id] = time.Now()
	if what == "end" {
		r.ends[id]++
	}
}

// outcome is a request with its times.
type outcome struct {
	reply       reply
	sent, ended time.Time
	daemon      *daemon
}

// probeCase stops a daemon while the engines' slots are taken and their answers have no length. It checks that
// requests which engines have answered to the end get a complete answer.
func probeCase(t *trial) (broken bool, err error) {
	work := &runs{last: make(map[string]time.Time), ends: make(map[string]int)}
	t.onSay = func(s *supervisor, what, id string) {
		t.journal.line("engine %s: %s %s", s.spec.ID, what, id)
		work.said(what, id)
	}
	t.store.put("config", "main", configuration())
	if err := t.startEngines("bronze-pool", "v1", 3, 4); err != nil {
		return false, err
	}
	if err := t.startDaemons(3); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // All machines are in touch.
	var mu sync.Mutex
	var all []outcome
	var stopping *daemon
	begin, ends := time.Now(), time.Now().Add(probeLead+probeGrace+probeTail)
	var clients sync.WaitGroup
	for range probeClients {
		clients.Go(func() {
			for time.Now().Before(ends) {
				mu.Lock()
				d := t.daemons[rand.IntN(len(t.daemons))]
				if d == stopping && time.Since(begin) > probeLead+2*time.Second {
					d = t.daemons[0] // Clients have asked for addresses again.
				}
				mu.Unlock()
				o := outcome{sent: time.Now(), daemon: d}
				o.reply = t.send(d, "POST", "/lohu930/2f", probeDeadline, "prompt", wire.Tokens, "100,100", "Model", "daka510000", wire.Prefix, "5c1e07a2:100")
				o.ended = time.Now()
				t.journal.line("client gets %s: status %d, %d bytes, error %v", o.reply.id, o.reply.status, len(o.reply.body), o.reply.err)
				mu.Lock()
				all = append(all, o)
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	time.Sleep(probeLead)
	mu.Lock()
	stopping = t.daemons[2]
	mu.Unlock()
	stopped := time.Now()
	if t.trouble {
		t.journal.line("SIGTERM to %s", stopping.name)
		_ = stopping.cmd.Process.Signal(syscall.SIGTERM)
	}
	clients.Wait()
	cut := 0
	for _, o := range all {
		if work.ends[o.reply.id] == 0 || o.reply.err == nil {
			continue
		}
		cut++
		if t.trouble && o.daemon == stopping {
			t.judgeStop(o, stopped, work)
		}
	}
	t.journal.line("%d of %d streams that engines gave to their end were cut, %d of them around the stop", cut, len(all), t.broken)
	return t.broken > 0, nil
}

// judgeStop records a request as lost that was in progress at the stopping daemon, unless the rule excuses it.
func (t *trial) judgeStop(o outcome, stopped time.Time, work *runs) {
	end := o.ended.Sub(stopped)
	switch {
	case end < 0 || end > probeGrace+time.Second:
		return // Not around the stop.
	case o.ended.Sub(o.sent) >= probeDeadline:
		return
	case work.last[o.reply.id].Sub(stopped) >= lastSixth && o.sent.Sub(stopped) <= lateSend:
		return // Its engine was still at work in the last sixth.
	}
	t.violation("stream %s to %s, sent %.3f s after the SIGTERM and given to its end by %d runs, ends %.3f s after it without its end: %d bytes, %v",
		o.reply.id, o.daemon.name, o.sent.Sub(stopped).Seconds(), work.ends[o.reply.id], end.Seconds(), len(o.reply.body), o.reply.err)
}
