package main

import (
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// Load and disruption of the case.
const (
	restartLength = 40 * time.Second
	killInterval  = 3 * time.Second
	sendInterval  = 60 * time.Millisecond
)

// restartCase kills engines that are in the middle of an answer without a length and starts them again at
// once under their id. It checks that an answer which looks complete is the engine's whole answer.
func restartCase(t *trial) (broken bool, err error) {
	var mu sync.Mutex
	var due time.Time
	t.onSay = func(s *supervisor, what, id string) {
		t.journal.line("engine %s: %s %s", s.spec.ID, what, id)
		mu.Lock()
		defer mu.Unlock()
		if !t.trouble || what != "half" || due.IsZero() || time.Now().Before(due) {
			return
		}
		due = time.Now().Add(killInterval)
		t.journal.line("engine %s is killed", s.spec.ID)
		s.kill()
	}
	t.store.put("config", "main", configuration())
	if err := t.startEngines("bronze-pool", "v1", 10, 16); err != nil {
		return false, err
	}
	if err := t.startEngines("resale-app", "v1", 10, 6); err != nil {
		return false, err
	}
	if err := t.startDaemons(3); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // All machines are in touch.
	mu.Lock()
	due = time.Now()
	mu.Unlock()
	var clients sync.WaitGroup
	for end := time.Now().Add(restartLength); time.Now().Before(end); time.Sleep(sendInterval) {
		d := t.daemons[rand.IntN(len(t.daemons))]
		if rand.IntN(2) == 0 {
			clients.Go(func() {
				t.checkStream(t.send(d, "POST", "/lohu930/2f", 20*time.Second, "prompt", wire.Tokens, "100,100", "Model", "daka510000", wire.Prefix, "5c1e07a2:100"))
			})
			continue
		}
		clients.Go(func() { t.checkAnswer(t.send(d, "POST", "/puxa403/2f", 1500*time.Millisecond, "order")) })
	}
	clients.Wait()
	t.journal.line("%d answers looked complete and were not", t.broken)
	return t.broken > 0, nil
}

// checkStream checks that a stream which ends as complete has all its events.
func (t *trial) checkStream(r reply) {
	var whole strings.Builder
	for n := 1; n <= streamEvents; n++ {
		whole.WriteString(eventText(r.id, n))
	}
	t.checkWhole("stream", r, whole.String())
}

// checkAnswer checks that a successful answer is the engine's whole answer.
func (t *trial) checkAnswer(r reply) { t.checkWhole("answer", r, answerText(r.id)) }

func (t *trial) checkWhole(what string, r reply, whole string) {
	t.journal.line("client gets %s: status %d, %d of %d bytes, error %v", r.id, r.status, len(r.body), len(whole), r.err)
	if r.err == nil && r.status >= 200 && r.status < 300 && r.body != whole {
		t.violation("%s %s looks complete: status %d, stamp %s, %d of %d bytes", what, r.id, r.status, r.header.Get(wire.Stamp), len(r.body), len(whole))
	}
}
