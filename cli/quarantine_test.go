package cli

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestQuarantineIsShownAndCleared(t *testing.T) {
	c := qt.New(t)
	const hash = "0c000000000000000000000000000000"
	cleared := ""
	daemon := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.Method == http.MethodGet && r.URL.Path == "/quarantine" && cleared == "":
			_, _ = w.Write([]byte(`{"entries":[{"hash":"` + hash + `","service":"llm","engines":["e1","e2"],"firstAgeMs":"65000","tied":true,"retriesLeft":2,"daemon":"entry-1"}]}`))
		case r.Method == http.MethodGet:
			_, _ = w.Write([]byte(`{}`))
		case r.URL.Path == "/quarantine/"+hash && cleared == "":
			cleared = hash
			w.WriteHeader(http.StatusNoContent)
		default:
			w.WriteHeader(http.StatusNotFound)
		}
	}))
	defer daemon.Close()
	address := strings.TrimPrefix(daemon.URL, "http://")

	got := run(t, "quarantine", "--daemon", address)
	c.Assert(got.code, qt.Equals, ExitOK, qt.Commentf("%s", got.stderr))
	for _, text := range []string{hash, "e1,e2", "1m5s ago", "true", "entry-1"} {
		c.Check(strings.Contains(got.stdout, text), qt.IsTrue, qt.Commentf("%s in %s", text, got.stdout))
	}
	c.Check(run(t, "quarantine", "--daemon", address, "--clear", "none").code, qt.Equals, ExitUsage)
	c.Check(run(t, "quarantine", "--daemon", address, "--clear", hash).code, qt.Equals, ExitOK)
	c.Check(cleared, qt.Equals, hash)
	c.Check(run(t, "quarantine", "--daemon", address, "--clear", hash).code, qt.Equals, ExitFailure)
	c.Check(strings.Contains(run(t, "quarantine", "--daemon", address).stdout, "nothing is in quarantine"), qt.IsTrue)
	c.Check(run(t, "quarantine", "--daemon", "nowhere").code, qt.Equals, ExitUsage)
	daemon.Close()
	c.Check(run(t, "quarantine", "--daemon", address).code, qt.Equals, ExitUnavailable)
}
