package settings

import (
	"bytes"
	"errors"
	"flag"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var update = flag.Bool("update", false, "rewrite docs/operating/settings.md")

const documentPath = "../docs/operating/settings.md"

// withRequired returns the required arguments, followed by more.
func withRequired(more ...string) []string {
	args := []string{
		"--name=h1", "--data-centre=hall-centro",
		"--store-url=http://127.0.0.1:9000", "--host-list-url=http://127.0.0.1:9001",
		"--insecure-plaintext-peers", "--insecure-plaintext-operators",
	}
	return append(args, more...)
}

func TestParsePrefersFlagOverVariableOverDefault(t *testing.T) {
	c := qt.New(t)
	environ := []string{
		"BRONZETURN_RATING_URL=http://r", "BRONZETURN_STOP_TIMEOUT=20s",
		"BRONZETURN_SEEDS=10.0.0.1:1,10.0.0.2:2", "BRONZETURN_ADMIN_PPROF=true", "BRONZETURN_LOG_LEVEL=",
	}
	s, err := Parse(withRequired("--stop-timeout", "30s", "--ledger-fleet-writes=2.5"), environ)
	c.Assert(err, qt.IsNil)
	c.Check(s.GetName(), qt.Equals, "h1")
	c.Check(s.GetRatingUrl(), qt.Equals, "http://r")
	c.Check(s.GetStopTimeout().AsDuration(), qt.Equals, 30*time.Second)
	c.Check(s.GetSeeds(), qt.DeepEquals, []string{"10.0.0.1:1", "10.0.0.2:2"})
	c.Check(s.GetAdminPprof(), qt.IsTrue)
	c.Check(s.GetInsecurePlaintextPeers(), qt.IsTrue)
	c.Check(s.GetLedgerFleetWrites(), qt.Equals, 2.5)
	c.Check(s.GetLogLevel(), qt.Equals, "info")
	c.Check(s.GetConfigStaleAfter().AsDuration(), qt.Equals, 10*time.Second)
	c.Check(s.GetMaxBodyBytes(), qt.Equals, int64(4<<20))
}

func TestParseNamesInvalidFlags(t *testing.T) {
	tests := []struct {
		name    string
		args    []string
		environ []string
		flags   []string
	}{
		{name: "unknown flag", args: withRequired("--nmae=x"), flags: []string{"--nmae=x"}},
		{name: "positional argument", args: withRequired("x"), flags: []string{"x"}},
		{name: "flag without a value", args: withRequired("--rating-url"), flags: []string{"--rating-url"}},
		{name: "number below its bound", args: withRequired("--max-body-bytes=5"), flags: []string{"--max-body-bytes"}},
		{name: "number above its bound", args: withRequired("--engine-subset-size=10001"), flags: []string{"--engine-subset-size"}},
		{name: "not a number", args: withRequired("--retry-budget-ratio=NaN"), flags: []string{"--retry-budget-ratio"}},
		{name: "fraction of a whole number", args: withRequired("--ledger-shards=1.5"), flags: []string{"--ledger-shards"}},
		{name: "duration without a unit", args: withRequired("--stop-timeout=5"), flags: []string{"--stop-timeout"}},
		{name: "duration above its bound", args: withRequired("--entries-keep=11m"), flags: []string{"--entries-keep"}},
		{name: "invalid boolean in a variable", args: withRequired(), environ: []string{"BRONZETURN_ADMIN_PPROF=maybe"}, flags: []string{"--admin-pprof"}},
		{name: "unknown choice", args: withRequired("--log-format=xml"), flags: []string{"--log-format"}},
		{name: "host name as an address", args: withRequired("--caller-address=localhost:80"), flags: []string{"--caller-address"}},
		{name: "unspecified advertised address", args: withRequired("--peer-address=0.0.0.0:80"), flags: []string{"--peer-address"}},
		{name: "one invalid seed", args: withRequired("--seeds=10.0.0.1:1,x"), flags: []string{"--seeds"}},
		{name: "URL with a password", args: withRequired("--rating-url=http://a:b@h/"), flags: []string{"--rating-url"}},
		{name: "listeners on all addresses without an address to advertise", args: withRequired("--caller-listen=0.0.0.0:80", "--peer-listen=[::]:81"), flags: []string{"--caller-address", "--peer-address"}},
		{name: "two listeners on the same port", args: withRequired("--admin-listen=0.0.0.0:8080"), flags: []string{"--admin-listen"}},
		{name: "memory for less than one body", args: withRequired("--memory-bytes=100000000", "--max-body-bytes=10000001"), flags: []string{"--max-body-bytes"}},
		{name: "too little memory", args: withRequired("--memory-bytes=1000000"), flags: []string{"--memory-bytes"}},
		{name: "TLS file although plain text is allowed", args: withRequired("--peer-tls-cert=c"), flags: []string{"--peer-tls-cert"}},
		{name: "caller certificate without a key", args: withRequired("--caller-tls-cert=c"), flags: []string{"--caller-tls-key"}},
		{name: "caller authority without a certificate", args: withRequired("--caller-tls-ca=c"), flags: []string{"--caller-tls-ca"}},
		{
			name:  "all faults at once",
			args:  []string{"--name=a b", "--store-url=x", "--host-list-url=http://h", "--wrong", "--log-level=loud"},
			flags: []string{"--wrong", "--name", "--data-centre", "--store-url", "--log-level"},
		},
		{
			name:  "neither certificates nor plain text",
			args:  []string{"--name=a", "--data-centre=d", "--store-url=http://s", "--host-list-url=http://h", "--insecure-plaintext-peers"},
			flags: []string{"--operator-tls-cert", "--operator-tls-key", "--operator-tls-ca"},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			_, err := Parse(test.args, test.environ)
			var fault *Error
			c.Assert(errors.As(err, &fault), qt.IsTrue, qt.Commentf("%v", err))
			var flags []string
			for _, p := range fault.Problems {
				flags = append(flags, p.Flag)
				c.Check(p.Message, qt.Not(qt.Equals), "")
			}
			c.Check(flags, qt.DeepEquals, test.flags)
		})
	}
}

func TestSchemaDescribesEveryFlag(t *testing.T) {
	c := qt.New(t)
	c.Assert(len(options), qt.Equals, 43)
	for _, o := range options {
		name := strings.ReplaceAll(string(o.field.Name()), "_", "-")
		env := "BRONZETURN_" + strings.ToUpper(string(o.field.Name()))
		c.Check(o.flag.GetName(), qt.Equals, name)
		c.Check(o.flag.GetEnv(), qt.Equals, env)
		c.Check(o.flag.GetHelp(), qt.Not(qt.Equals), "", qt.Commentf(name))
		if o.flag.GetUnit() == "" {
			continue
		}
		for _, text := range []string{o.flag.GetMin(), o.flag.GetMax(), o.flag.GetDefault()} {
			_, err := o.parse(text)
			c.Check(err, qt.IsNil, qt.Commentf("%s: %q", name, text))
		}
	}
}

func TestHelpListsFlagsWithVariables(t *testing.T) {
	c := qt.New(t)
	_, err := Parse([]string{"--name=x", "--help", "--wrong"}, nil)
	c.Assert(errors.Is(err, ErrHelp), qt.IsTrue)
	var b bytes.Buffer
	c.Assert(WriteHelp(&b), qt.IsNil)
	for _, o := range options {
		c.Check(strings.Contains(b.String(), "--"+o.flag.GetName()), qt.IsTrue)
		c.Check(strings.Contains(b.String(), o.flag.GetEnv()), qt.IsTrue)
	}
}

func TestDocumentIsUpToDate(t *testing.T) {
	c := qt.New(t)
	var b bytes.Buffer
	c.Assert(WriteDocument(&b), qt.IsNil)
	if *update {
		c.Assert(os.WriteFile(documentPath, b.Bytes(), 0o644), qt.IsNil)
	}
	have, err := os.ReadFile(documentPath)
	c.Assert(err, qt.IsNil)
	c.Check(string(have), qt.Equals, b.String(), qt.Commentf("run: go test ./settings -run TestDocument -update"))
}

func FuzzParseNeverAcceptsMissingSettings(f *testing.F) {
	f.Add("--name=x", "--stop-timeout", "1h", "BRONZETURN_SEEDS=1.2.3.4:5")
	f.Add("--", "-", "--=", "=")
	f.Add("--admin-pprof=false", "--no-admin-pprof", "--seeds=,", "BRONZETURN_ADMIN_PPROF=1")
	f.Fuzz(func(t *testing.T, a, b, c, env string) {
		s, err := Parse(withRequired(a, b, c), []string{env})
		if err == nil && (s.GetName() == "" || s.GetStoreUrl() == "" || s.GetStopTimeout().AsDuration() < time.Second) {
			t.Fatalf("accepted without required settings: %v", s)
		}
	})
}
