package e2e

import (
	"encoding/json"
	"fmt"
	"path/filepath"
	"sync"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/bronzeturn/bronzeturn/cli"
	"github.com/bronzeturn/bronzeturn/config"
	"github.com/bronzeturn/bronzeturn/demo"
	"github.com/bronzeturn/bronzeturn/standin"
)

// variant is the configuration of one operator: a key of its own in the
// register, and a kind of its own in the rules.
type variant struct {
	name            string
	register, rules string
}

func (v variant) key() string { return "key-" + v.name }

func (d *deployment) variant(c *qt.C, name string) variant {
	folder := c.TempDir()
	v := variant{name: name, register: filepath.Join(folder, "register.yaml"), rules: filepath.Join(folder, "rules.yaml")}
	register := d.registerMessage()
	register.Organisations[0].KeySha256 = append(register.Organisations[0].KeySha256, keyHash(v.key()))
	writeMessage(c, v.register, register)
	rules, err := config.DecodeRules("rules", []byte(rulesText))
	c.Assert(err, qt.IsNil)
	kind := proto.CloneOf(rules.Kinds[0])
	kind.Name = v.name
	rules.Kinds = append(rules.Kinds, kind)
	writeMessage(c, v.rules, rules)
	return v
}

// applied is how an apply ended.
type applied struct {
	out  string
	code int
}

// race lets two operators apply their configuration over the same generation.
func (d *deployment) race(base uint64, variants [2]variant) [2]applied {
	var results [2]applied
	var applying sync.WaitGroup
	for i, v := range variants {
		applying.Go(func() {
			results[i].out, results[i].code = command("apply", "--json", "--store", "http://"+d.store, "--base", fmt.Sprint(base), v.register, v.rules)
		})
	}
	applying.Wait()
	return results
}

// assertWhole asserts that a daemon runs the configuration of one operator and
// nothing of the other.
func assertWhole(c *qt.C, one *daemon, winner, loser variant) {
	chat := demo.Chat{Key: winner.key(), Kind: winner.name, Prompt: "whose"}
	got := send(chat, one.callers)
	c.Assert(got.Check(chat), qt.IsNil, qt.Commentf("%d %s", got.Status, got.Body))
	chat.Kind = loser.name
	c.Assert(send(chat, one.callers).Failure().Code, qt.Equals, "unknown_kind")
	chat.Key = loser.key()
	c.Assert(send(chat, one.callers).Failure().Code, qt.Equals, "unauthenticated")
}

func TestOperatorsRaceAndOneWins(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	d := deploy(c, 3, 1)
	variants := [2]variant{d.variant(c, "anna"), d.variant(c, "bela")}
	results := d.race(1, variants)
	winner := 0
	if results[0].code != cli.ExitOK {
		winner = 1
	}
	c.Assert(results[winner].code, qt.Equals, cli.ExitOK, qt.Commentf("%s", results[winner].out))
	lost := results[1-winner]
	c.Assert(lost.code, qt.Equals, cli.ExitConflict, qt.Commentf("%s", lost.out))
	c.Assert(lost.out, qt.Matches, `(?s).*"base_generation": ?1\b.*"generation_in_force": ?2\b.*`)
	d.inForceAt(c, 2, d.daemons[0], d.daemons[0].name, d.daemons[1].name, d.daemons[2].name)
	for _, one := range d.daemons {
		assertWhole(c, one, variants[winner], variants[1-winner])
	}
}

// TestOperatorsRaceThroughFaults brings operators' races together with lost
// answers, an outage and a frozen daemon.
func TestOperatorsRaceThroughFaults(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	d := deploy(c, 3, 1)
	faults := []standin.Faults{{LoseAnswers: 3}, {Refuse: true}, {SlowMillis: 100}, {Fail: true}, {LoseAnswers: 1}}
	c.Assert(d.daemons[2].cmd.Process.Signal(syscall.SIGSTOP), qt.IsNil)
	for i, fault := range faults {
		variants := [2]variant{d.variant(c, fmt.Sprintf("anna-%d", i)), d.variant(c, fmt.Sprintf("bela-%d", i))}
		base := d.generation(c)
		control(c, d.store, fault)
		var results [2]applied
		done := make(chan struct{})
		go func() {
			defer close(done)
			results = d.race(base, variants)
		}()
		chat := demo.Chat{Key: key, Prompt: "meanwhile"}
		got := send(chat, d.daemons[0].callers)
		c.Assert(got.Check(chat), qt.IsNil, qt.Commentf("%d %s", got.Status, got.Body))
		control(c, d.store, standin.Faults{})
		<-done
		wins := 0
		for _, r := range results {
			c.Assert(r.code == cli.ExitOK || r.code == cli.ExitConflict || r.code == cli.ExitUnavailable, qt.IsTrue, qt.Commentf("%d %s", r.code, r.out))
			if r.code == cli.ExitOK {
				wins++
			}
		}
		c.Assert(wins <= 1, qt.IsTrue, qt.Commentf("%v", results))
		if wins == 1 {
			c.Assert(d.generation(c) > base, qt.IsTrue)
		}
	}
	c.Assert(d.daemons[2].cmd.Process.Signal(syscall.SIGCONT), qt.IsNil)
	variants := [2]variant{d.variant(c, "anna"), d.variant(c, "bela")}
	results := d.race(d.generation(c), variants)
	winner := 0
	if results[0].code != cli.ExitOK {
		winner = 1
	}
	c.Assert(results[winner].code, qt.Equals, cli.ExitOK, qt.Commentf("%v", results))
	d.inForceAt(c, d.generation(c), d.daemons[0], d.daemons[0].name, d.daemons[1].name, d.daemons[2].name)
	for _, one := range d.daemons {
		assertWhole(c, one, variants[winner], variants[1-winner])
	}
}

// generation returns the newest accepted generation, by an apply over a
// generation that never was.
func (d *deployment) generation(c *qt.C) uint64 {
	const never = 1 << 40
	out, code := command("apply", "--json", "--store", "http://"+d.store, "--base", fmt.Sprint(never), d.register, d.rules)
	c.Assert(code, qt.Equals, cli.ExitConflict, qt.Commentf("%s", out))
	var conflict struct {
		Conflict struct {
			InForce uint64 `json:"generation_in_force"`
		}
	}
	c.Assert(json.Unmarshal([]byte(out), &conflict), qt.IsNil, qt.Commentf("%s", out))
	return conflict.Conflict.InForce
}
