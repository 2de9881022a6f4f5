package cli

import (
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/bronzeturn/bronzeturn/standin"
	qt "github.com/frankban/quicktest"
)

const (
	exampleRegister = "../examples/campina-verde/register.yaml"
	exampleRules    = "../examples/campina-verde/rules.yaml"
)

// write writes text to the file name in a new directory and returns its path.
func write(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	qt.Assert(t, os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	return path
}

// exampleWith returns the path of a copy of an example file in which the first old is
// replaced by text.
func exampleWith(t *testing.T, path, old, text string) string {
	t.Helper()
	content, err := os.ReadFile(path)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(content), qt.Contains, old)
	return write(t, filepath.Base(path), strings.Replace(string(content), old, text, 1))
}

func TestCheck(t *testing.T) {
	c := qt.New(t)
	for checked, args := range map[string][]string{
		checkedAll:      {exampleRegister, exampleRules},
		checkedRegister: {exampleRegister},
		checkedSyntax:   {exampleRules},
	} {
		got := run(t, append([]string{"check", "--json"}, args...)...)
		c.Assert(got.code, qt.Equals, ExitOK, qt.Commentf("%s", got.stderr))
		var out checkOutput
		decode(t, got.stdout, &out)
		c.Check(out, qt.Equals, checkOutput{Valid: true, Checked: checked})
	}
}

func TestCheckNamesEveryFault(t *testing.T) {
	c := qt.New(t)
	rules := write(t, "rules.yaml", "kinds:\n  - name: quick\n    quality_target: 2\n  - name: quick\n")
	got := run(t, "check", exampleRegister, rules, "--json")
	c.Check(got.code, qt.Equals, ExitInvalid)
	var out errorOutput
	decode(t, got.stderr, &out)
	c.Check(len(out.Faults) >= 3, qt.IsTrue, qt.Commentf("%v", out.Faults))
	text := run(t, "check", exampleRegister, rules)
	c.Check(text.stderr, qt.Contains, "rules.kinds[0].quality_target")

	broken := write(t, "register.yaml", "models:\n  - nmae: x\n")
	got = run(t, "check", broken, "--json")
	c.Check(got.code, qt.Equals, ExitInvalid)
	decode(t, got.stderr, &out)
	c.Assert(out.Faults, qt.HasLen, 1)
	c.Check(out.Faults[0].Line, qt.Equals, 2)
	twice := run(t, "check", exampleRules, rules)
	c.Check(twice.code, qt.Equals, ExitUsage)
}

// apply runs a command that changes the configuration and returns its outcome, with the
// decoded result if it succeeded.
func apply(t *testing.T, store string, args ...string) (outcome, resultOutput) {
	t.Helper()
	got := run(t, append(args, "--store", store, "--by", "ana", "--json")...)
	var out resultOutput
	if got.code == ExitOK {
		decode(t, got.stdout, &out)
	}
	return got, out
}

func TestApplyAndWithdraw(t *testing.T) {
	c := qt.New(t)
	server := httptest.NewServer(standin.NewObjectAPI(standin.ObjectAPIConfig{}))
	defer server.Close()

	_, first := apply(t, server.URL, "apply", exampleRegister, exampleRules, "--base=0")
	c.Check(first.Generation, qt.Equals, uint64(1))
	c.Check(first.State, qt.Equals, stateAccepted)
	_, again := apply(t, server.URL, "apply", exampleRegister, exampleRules)
	c.Check(again.State, qt.Equals, stateUnchanged)
	c.Check(again.NewParts, qt.Equals, 0)

	version := "diag-small@4"
	_, withdrawn := apply(t, server.URL, "withdraw", version, "--reason=wrong phase readings", "--note=seen at hall-porto")
	c.Check(withdrawn.State, qt.Equals, stateAccepted)
	c.Check(withdrawn.Base, qt.Equals, again.Generation)

	changed := exampleWith(t, exampleRules, "quality_target: 0.", "quality_target: 0.0")
	lost, _ := apply(t, server.URL, "apply", changed, "--base=1")
	c.Check(lost.code, qt.Equals, ExitConflict)
	var out errorOutput
	decode(t, lost.stderr, &out)
	c.Assert(out.Conflict, qt.IsNotNil)
	c.Check(out.Conflict.Base, qt.Equals, uint64(1))
	c.Check(out.Conflict.InForce, qt.Equals, withdrawn.Generation)
	c.Check(out.Conflict.By, qt.Equals, "ana")

	invalid, _ := apply(t, server.URL, "withdraw", "absent@1", "--reason=x")
	c.Check(invalid.code, qt.Equals, ExitInvalid)
	text := run(t, "apply", changed, "--store", server.URL, "--base=1")
	inForce := fmt.Sprintf("generation %d", withdrawn.Generation)
	c.Check(contains(text.stderr, "generation 1", inForce, "ana", "seen at hall-porto"), qt.IsTrue, qt.Commentf("%s", text.stderr))
}

func TestApplyWithoutStoreIsUnavailable(t *testing.T) {
	got, _ := apply(t, "http://"+deadAddress(t), "apply", exampleRegister, exampleRules)
	qt.Check(t, got.code, qt.Equals, ExitUnavailable, qt.Commentf("%s", got.stderr))
}
