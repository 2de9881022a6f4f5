package main

import (
	"bufio"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"os/exec"
	"regexp"
	"strings"
	"syscall"
	"testing"

	"github.com/alecthomas/kong"
	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/standin"
)

// runMain is the environment variable that makes the test binary run main in place of the
// tests.
const runMain = "BRONZETURN_STANDIN_RUN_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(runMain) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

func TestReadmeStartsStandInsWithFlagsThatExist(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile("../../README.md")
	c.Assert(err, qt.IsNil)
	// File names in the README are relative to the root of the repository.
	c.Chdir("../..")
	lines := regexp.MustCompile(`(?m)^ *out/bronzeturn-standin (.*) &$`).FindAllStringSubmatch(string(page), -1)
	c.Assert(lines, qt.HasLen, 10)
	for _, line := range lines {
		parser, err := kong.New(&options{})
		c.Assert(err, qt.IsNil)
		_, err = parser.Parse(strings.Fields(strings.ReplaceAll(line[1], "$port", "1")))
		c.Check(err, qt.IsNil, qt.Commentf("%s", line[1]))
	}
}

func TestEachCommandPrintsItsAddressAndStopsOnSignal(t *testing.T) {
	commands := [][]string{
		{"object-api"}, {"host-list"}, {"rating"}, {"weight-store", "--weights", "v=5"},
		{"engine", "--versions", "v"}, {"plain-service"},
	}
	for _, args := range commands {
		t.Run(args[0], func(t *testing.T) {
			t.Parallel() // With the race detector, a process takes a second to exit.
			c := qt.New(t)
			cmd := exec.Command(os.Args[0], args...)
			cmd.Env = append(os.Environ(), runMain+"=1")
			stdout, err := cmd.StdoutPipe()
			c.Assert(err, qt.IsNil)
			c.Assert(cmd.Start(), qt.IsNil)
			c.Cleanup(func() { _ = cmd.Process.Kill() })

			line, err := bufio.NewReader(stdout).ReadBytes('\n')
			c.Assert(err, qt.IsNil)
			var started struct{ Address string }
			c.Assert(json.Unmarshal(line, &started), qt.IsNil)
			_, port, err := net.SplitHostPort(started.Address)
			c.Assert(err, qt.IsNil)
			c.Assert(port, qt.Not(qt.Equals), "0")
			response, err := http.Get("http://" + started.Address + standin.PathFaults)
			c.Assert(err, qt.IsNil)
			defer response.Body.Close()
			c.Assert(response.StatusCode, qt.Equals, http.StatusOK)

			c.Assert(cmd.Process.Signal(syscall.SIGTERM), qt.IsNil)
			c.Assert(cmd.Wait(), qt.IsNil)
		})
	}
}
