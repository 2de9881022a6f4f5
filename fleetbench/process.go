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

// clockTick is the unit of processor times that the system reports.
const clockTick = 10 * time.Millisecond

// processes are daemons in processes of their own.
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

// start starts one daemon and waits for its addresses.
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
		_ = cmd.Wait() // A daemon that failed shows by what is missing.
		close(ended)
	}()
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	s, err := progress.waitStarted(ctx, i)
	f.started = append(f.started, s)
	return err
}

func (f *processes) admins() []string {
	var addresses []string
	for _, s := range f.started {
		addresses = append(addresses, s.Admin)
	}
	return addresses
}

func (f *processes) live(ctx context.Context, i int) (int, error) {
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
		if f.gone(i) {
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

func (f *processes) gone(i int) bool {
	select {
	case <-f.ended[i]:
		return true
	default:
		return false
	}
}

func (f *processes) lose(numbers []int) {
	for _, i := range numbers {
		_ = f.commands[i].Process.Kill() // It fails only if the process has ended.
	}
	for _, i := range numbers {
		<-f.ended[i]
	}
}

// stop ends all processes; a graceful stop is not part of the measurement.
func (f *processes) stop() error {
	f.lose(allOf(len(f.commands)))
	return nil
}

// processorTime is what a process has used, in user and system mode.
func processorTime(pid string) (time.Duration, error) {
	data, err := os.ReadFile("/proc/" + pid + "/stat")
	if err != nil {
		return 0, fmt.Errorf("processor time: %w", err)
	}
	// The fields after the name, which is in brackets: state is the first, the
	// user and system times are the 12th and 13th.
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

// residentBytes is the memory of a process that is in RAM.
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

// loadAverage is that of the machine over 1, 5 and 15 minutes.
func loadAverage() string {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	return strings.Join(strings.Fields(string(data))[:3], " ")
}
