package membership

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/bronzeturn/bronzeturn/gossip"
	"github.com/bronzeturn/bronzeturn/peer"
)

// processSeed is the environment variable that makes the test binary run as a single daemon,
// which joins the fleet through the seed address in its value.
const processSeed = "BRONZETURN_TEST_MEMBERSHIP_SEED"

// runProcess runs a daemon in a process of its own until its standard input ends.
func runProcess(seed string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		os.Exit(1)
	}
	traffic, _ := peer.NewTraffic(nil)
	m, err := New(Options{
		Self:   Self{Name: "process", DataCentre: "hall-serra", PeerAddress: listener.Addr().String(), CallerAddress: "process"},
		Seeds:  []string{seed},
		Dialer: &gossip.StreamDialer{Directory: peer.NewDirectory(nil, nil, traffic)},
		Random: rand.New(rand.NewPCG(1, 3)),
		Log:    zerolog.Nop(),
	})
	if err != nil {
		os.Exit(1)
	}
	mux := http.NewServeMux()
	mux.Handle(gossip.NewHandler(m.Table()))
	peer.NewServer(listener, mux, nil, traffic).Start()
	m.Start()
	fmt.Println("started")
	_, _ = bufio.NewReader(os.Stdin).ReadByte()
}

func TestStoppedContinuedAndKilledProcess(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	a := startDaemon(t, "a", "hall-centro", nil)
	b := startDaemon(t, "b", "hall-porto", nil, a.address)
	executable, err := os.Executable()
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithTimeout(t.Context(), 3*waitLimit)
	defer cancel()
	process := exec.CommandContext(ctx, executable)
	process.Env = append(os.Environ(), processSeed+"="+a.address)
	input, err := process.StdinPipe()
	c.Assert(err, qt.IsNil)
	defer func() { _ = input.Close() }()
	c.Assert(process.Start(), qt.IsNil)

	both := []*daemon{a, b}
	waitBoth := func(what string, state State, reason Reason) {
		for _, d := range both {
			waitView(t, d, what, func(v *View) bool {
				m, ok := v.Member("process")
				return ok && m.State == state && m.Reason == reason
			})
		}
	}
	waitBoth("the process is live", Live, ReasonNone)
	c.Assert(process.Process.Signal(syscall.SIGSTOP), qt.IsNil)
	waitBoth("the stopped process is frozen", Suspected, ReasonFrozen)
	c.Assert(process.Process.Signal(syscall.SIGCONT), qt.IsNil)
	waitBoth("the continued process is live", Live, ReasonNone)
	for _, d := range both {
		c.Check(d.View().Live(), qt.Equals, 3)
	}
	c.Assert(process.Process.Kill(), qt.IsNil)
	_ = process.Wait()
	waitBoth("the killed process is unreachable", Suspected, ReasonUnreachable)
}
