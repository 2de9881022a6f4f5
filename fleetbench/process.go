package fleetbench

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"time"

	"connectrpc.com/connect"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1/bronzeturnv1connect"
)

// clockTick is the unit of CPU times in /proc (USER_HZ is 100).
const clockTick = 10 * time.Millisecond

// processes are daemons that run as separate processes.
type processes struct {
	commands []*exec.Cmd
	started  []started
	ended    []chan struct{}
}

func startProcesses(ctx context.Context, p *platform, o Options, progress *progress) (fleet, error) {
	f := &processes{}
	for i := range o.Daemons {
		if err := f.start(ctx, p, o.Binary, i, progress); err != nil {
			return nil, errors.Join(err, f.stop())
		}
	}
	return f, nil
}

// start starts a daemon and waits until it has logged its addresses.
func (f *processes) start(ctx context.Context, p *platform, binary string, i int, progress *progress) error {
	var seeds []string
	for _, s := range f.started[:min(len(f.started), seedCount)] {
		seeds = append(seeds, s.Peers)
	}
	cmd := exec.Command(binary, p.arguments(i, strings.Join(seeds, ","))...)
	cmd.Env = []string{}
	cmd.Stderr = progress.writer(i)
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", daemonName(i), err)
	}
	ended := make(chan struct{})
	f.commands, f.ended = append(f.commands, cmd), append(f.ended, ended)
	go func() {
		_ = cmd.Wait() // A daemon that failed is noticed by its missing progress.
		close(ended)
	}()
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	s, err := progress.waitStarted(ctx, i)
	f.started = append(f.started, s)
	return err
}

func (f *processes) adminAddresses() []string {
	var addresses []string
	for _, s := range f.started {
		addresses = append(addresses, s.Admin)
	}
	return addresses
}

func (f *processes) liveCount(ctx context.Context, i int) (int, error) {
	client := bronzeturnv1connect.NewOperatorServiceClient(http.DefaultClient, "http://"+f.started[i].Operators)
	response, err := client.Status(ctx, connect.NewRequest(&bronzeturnv1.StatusRequest{LocalOnly: true}))
	if err != nil {
		return 0, fmt.Errorf("status of %s: %w", daemonName(i), err)
	}
	live := 0
	for _, d := range response.Msg.GetDaemons() {
		if d.GetName() == daemonName(i) {
			live++
		}
		for _, s := range d.GetNeighbours() {
			if d.GetName() == daemonName(i) && s.GetHealth() == bronzeturnv1.DaemonHealth_DAEMON_HEALTH_LIVE {
				live++
			}
		}
	}
	return live, nil
}

func (f *processes) usage(ctx context.Context) (usage, error) {
	total := usage{cpu: make(map[int]time.Duration)}
	for i, cmd := range f.commands {
		if f.hasExited(i) {
			continue
		}
		pid := strconv.Itoa(cmd.Process.Pid)
		cpu, err := processorTime(pid)
		if err != nil {
			return usage{}, err
		}
		resident, err := residentBytes(pid)
		if err != nil {
			return usage{}, err
		}
		goroutines, err := goroutinesOf(ctx, f.started[i].Admin)
		if err != nil {
			return usage{}, err
		}
		total.cpu[i] = cpu
		total.resident += resident
		total.goroutines += goroutines
	}
	return total, nil
}

func (f *processes) hasExited(i int) bool {
	select {
	case <-f.ended[i]:
		return true
	default:
		return false
	}
}

func (f *processes) terminate(numbers []int) {
	for _, i := range numbers {
		_ = f.commands[i].Process.Kill() // Kill fails only if the process has ended.
	}
	for _, i := range numbers {
		<-f.ended[i]
	}
}

// stop kills all processes. A graceful stop is not needed, as it is not measured.
func (f *processes) stop() error {
	f.terminate(indexes(len(f.commands)))
	return nil
}

// processorTime returns the CPU time of a process in user and system mode.
func processorTime(pid string) (time.Duration, error) {
	data, err := os.ReadFile("/proc/" + pid + "/stat")
	if err != nil {
		return 0, fmt.Errorf("processor time: %w", err)
	}
	// The fields after the name, which ends with the last ')': the first is the state,
	// utime and stime are the 12th and 13th.
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	var ticks uint64
	for _, field := range fields[11:13] {
		n, err := strconv.ParseUint(field, 10, 64)
		if err != nil {
			return 0, fmt.Errorf("processor time: %w", err)
		}
		ticks += n
	}
	return time.Duration(ticks) * clockTick, nil
}

// residentBytes returns the resident set size of a process.
func residentBytes(pid string) (uint64, error) {
	data, err := os.ReadFile("/proc/" + pid + "/statm")
	if err != nil {
		return 0, fmt.Errorf("memory: %w", err)
	}
	pages, err := strconv.ParseUint(strings.Fields(string(data))[1], 10, 64)
	if err != nil {
		return 0, fmt.Errorf("memory: %w", err)
	}
	return pages * uint64(os.Getpagesize()), nil
}

// loadAverage returns the load averages of the machine over 1, 5 and 15 minutes.
func loadAverage() string {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	return strings.Join(strings.Fields(string(data))[:3], " ")
}
