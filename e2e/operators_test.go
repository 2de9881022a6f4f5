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

// operatorConfiguration is the configuration of one operator, which differs from that of the
// deployment by one more key in the register and one more kind in the rules.
type operatorConfiguration struct {
	name            string
	register, rules string
}

func (v operatorConfiguration) key() string { return "key-" + v.name }

func (d *deployment) operatorConfiguration(c *qt.C, name string) operatorConfiguration {
	folder := c.TempDir()
	v := operatorConfiguration{name: name, register: filepath.Join(folder, "register.yaml"), rules: filepath.Join(folder, "rules.yaml")}
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

// applyResult is the output and the exit code of an apply.
type applyResult struct {
	out  string
	code int
}

// applyConcurrently applies the configurations of two operators concurrently, on the same base
// generation.
func (d *deployment) applyConcurrently(base uint64, variants [2]operatorConfiguration) [2]applyResult {
	var results [2]applyResult
	var applying sync.WaitGroup
	for i, v := range variants {
		applying.Go(func() {
			results[i].out, results[i].code = runCLI("apply", "--json", "--store", "http://"+d.store, "--base", fmt.Sprint(base), v.register, v.rules)
		})
	}
	applying.Wait()
	return results
}

// assertConfiguredBy asserts that a daemon uses the winner's configuration and no part of the
// loser's.
func assertConfiguredBy(c *qt.C, daemon *daemon, winner, loser operatorConfiguration) {
	chat := demo.Chat{Key: winner.key(), Kind: winner.name, Prompt: "whose"}
	got := send(chat, daemon.callers)
	c.Assert(got.Check(chat), qt.IsNil, qt.Commentf("%d %s", got.Status, got.Body))
	chat.Kind = loser.name
	c.Assert(send(chat, daemon.callers).Failure().Code, qt.Equals, "unknown_kind")
	chat.Key = loser.key()
	c.Assert(send(chat, daemon.callers).Failure().Code, qt.Equals, "unauthenticated")
}

func TestOneOfTwoConcurrentAppliesSucceeds(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	d := deploy(c, 3, 1)
	variants := [2]operatorConfiguration{d.operatorConfiguration(c, "anna"), d.operatorConfiguration(c, "bela")}
	results := d.applyConcurrently(1, variants)
	winner := 0
	if results[0].code != cli.ExitOK {
		winner = 1
	}
	c.Assert(results[winner].code, qt.Equals, cli.ExitOK, qt.Commentf("%s", results[winner].out))
	lost := results[1-winner]
	c.Assert(lost.code, qt.Equals, cli.ExitConflict, qt.Commentf("%s", lost.out))
	c.Assert(lost.out, qt.Matches, `(?s).*"base_generation": ?1\b.*"generation_in_force": ?2\b.*`)
	d.waitInForce(c, 2, d.daemons[0], d.daemons[0].name, d.daemons[1].name, d.daemons[2].name)
	for _, daemon := range d.daemons {
		assertConfiguredBy(c, daemon, variants[winner], variants[1-winner])
	}
}

// TestConcurrentAppliesDuringStoreFaults repeats concurrent applies during store faults (lost
// answers, an outage, slow and failed calls) while one daemon is frozen. At most one of the two
// may succeed each time.
func TestConcurrentAppliesDuringStoreFaults(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	d := deploy(c, 3, 1)
	faults := []standin.Faults{{LoseAnswers: 3}, {Refuse: true}, {SlowMillis: 100}, {Fail: true}, {LoseAnswers: 1}}
	c.Assert(d.daemons[2].cmd.Process.Signal(syscall.SIGSTOP), qt.IsNil)
	for i, fault := range faults {
		variants := [2]operatorConfiguration{d.operatorConfiguration(c, fmt.Sprintf("anna-%d", i)), d.operatorConfiguration(c, fmt.Sprintf("bela-%d", i))}
		base := d.newestGeneration(c)
		setFaults(c, d.store, fault)
		var results [2]applyResult
		done := make(chan struct{})
		go func() {
			defer close(done)
			results = d.applyConcurrently(base, variants)
		}()
		chat := demo.Chat{Key: key, Prompt: "meanwhile"}
		got := send(chat, d.daemons[0].callers)
		c.Assert(got.Check(chat), qt.IsNil, qt.Commentf("%d %s", got.Status, got.Body))
		setFaults(c, d.store, standin.Faults{})
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
			c.Assert(d.newestGeneration(c) > base, qt.IsTrue)
		}
	}
	c.Assert(d.daemons[2].cmd.Process.Signal(syscall.SIGCONT), qt.IsNil)
	variants := [2]operatorConfiguration{d.operatorConfiguration(c, "anna"), d.operatorConfiguration(c, "bela")}
	results := d.applyConcurrently(d.newestGeneration(c), variants)
	winner := 0
	if results[0].code != cli.ExitOK {
		winner = 1
	}
	c.Assert(results[winner].code, qt.Equals, cli.ExitOK, qt.Commentf("%v", results))
	d.waitInForce(c, d.newestGeneration(c), d.daemons[0], d.daemons[0].name, d.daemons[1].name, d.daemons[2].name)
	for _, daemon := range d.daemons {
		assertConfiguredBy(c, daemon, variants[winner], variants[1-winner])
	}
}

// newestGeneration returns the newest accepted generation. It reads it from the conflict that an
// apply on a nonexistent generation reports.
func (d *deployment) newestGeneration(c *qt.C) uint64 {
	const unreachable = 1 << 40
	out, code := runCLI("apply", "--json", "--store", "http://"+d.store, "--base", fmt.Sprint(unreachable), d.register, d.rules)
	c.Assert(code, qt.Equals, cli.ExitConflict, qt.Commentf("%s", out))
	var conflict struct {
		Conflict struct {
			InForce uint64 `json:"generation_in_force"`
		}
	}
	c.Assert(json.Unmarshal([]byte(out), &conflict), qt.IsNil, qt.Commentf("%s", out))
	return conflict.Conflict.InForce
}
