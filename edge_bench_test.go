package bronzeturn_test

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/callerapi"
	"github.com/bronzeturn/bronzeturn/config"
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/objectstore/httpstore"
)

// These benchmarks build the programs and start them as processes. Run them with
//
//	go test -run XXX -bench 'AddedLatency|StreamedTokens' -benchtime 1x .

// benchKey is the API key of the benchmarks' organisation.
const benchKey = "key-bench"

const benchRules = `
kinds:
  - {name: default, quality_target: 0.5, idempotent: true, deadline: 60s, progress_timeout: 10s, expected_completion_tokens: 32}
`

// benchSystem is a platform and one daemon, each program a process of its own. It
// holds the addresses of the engines, the caller listener and the admin listener,
// and the daemon's process ID.
type benchSystem struct {
	engines []string
	daemon  string
	admin   string
	pid     int
}

// startProgram starts a program and reads its output until accept returns true
// for a line. Later output is discarded. It returns the process ID.
func startProgram(c *qt.C, environ []string, accept func(line string) bool, path string, args ...string) int {
	cmd := exec.Command(path, args...)
	cmd.Env = append(os.Environ(), environ...)
	out, in, err := os.Pipe()
	c.Assert(err, qt.IsNil)
	cmd.Stdout, cmd.Stderr = in, in
	c.Assert(cmd.Start(), qt.IsNil)
	c.Assert(in.Close(), qt.IsNil)
	c.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		_ = out.Close()
	})
	reader := bufio.NewReader(out)
	for {
		line, err := reader.ReadString('\n')
		c.Assert(err, qt.IsNil, qt.Commentf("%s ended before the expected line: %s", path, line))
		if accept(line) {
			break
		}
	}
	go func() { _, _ = io.Copy(io.Discard, reader) }()
	return cmd.Process.Pid
}

// startBench builds all programs and starts the platform and the daemon. The
// environ variables are set for the daemon only.
func startBench(b *testing.B, engines int, environ []string, engineFlags ...string) *benchSystem {
	c := qt.New(b)
	folder := b.TempDir()
	out, err := exec.Command("go", "build", "-o", folder, "./cmd/...").CombinedOutput()
	c.Assert(err, qt.IsNil, qt.Commentf("%s", out))
	standIn := func(args ...string) string {
		var started struct{ Address string }
		startProgram(c, nil, func(line string) bool {
			return json.Unmarshal([]byte(line), &started) == nil && started.Address != ""
		}, filepath.Join(folder, "bronzeturn-standin"), args...)
		return started.Address
	}
	store, hosts := standIn("object-api"), standIn("host-list", "--hosts", writeHosts(c, folder))
	s := &benchSystem{}
	for range engines {
		s.engines = append(s.engines, standIn(append([]string{"engine", "--versions", "small@1"}, engineFlags...)...))
	}
	s.publish(c, store)
	var started struct{ Message, Callers, Admin string }
	s.pid = startProgram(c, environ, func(line string) bool {
		return json.Unmarshal([]byte(line), &started) == nil && started.Message == "daemon started"
	}, filepath.Join(folder, "bronzeturnd"), "--name", "entry-1", "--data-centre", "hall",
		"--caller-listen", "127.0.0.1:0", "--peer-listen", "127.0.0.1:0", "--operator-listen", "127.0.0.1:0", "--admin-listen", "127.0.0.1:0",
		"--store-url", "http://"+store, "--host-list-url", "http://"+hosts, "--admin-pprof",
		"--insecure-plaintext-peers", "--insecure-plaintext-operators")
	s.daemon, s.admin = started.Callers, started.Admin
	deadline := time.Now().Add(waitLimit)
	for !s.ready() {
		c.Assert(time.Now().Before(deadline), qt.IsTrue, qt.Commentf("daemon not ready in time"))
		time.Sleep(20 * time.Millisecond)
	}
	return s
}

func (s *benchSystem) ready() bool {
	resp, err := http.Get("http://" + s.admin + "/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// writeHosts writes an empty host list and returns its path.
func writeHosts(c *qt.C, folder string) string {
	path := filepath.Join(folder, "hosts.json")
	c.Assert(os.WriteFile(path, []byte("[]"), 0o600), qt.IsNil)
	return path
}

// publish writes a configuration with the engines to the store.
func (s *benchSystem) publish(c *qt.C, store string) {
	sum := sha256.Sum256([]byte(benchKey))
	register := &bronzeturnv1.Register{
		DataCentres: []*bronzeturnv1.DataCentre{{Name: "hall"}},
		Models:      []*bronzeturnv1.Model{{Name: "small"}},
		Versions:    []*bronzeturnv1.Version{{Name: "small@1", Model: "small", PromptPriceMicros: 100_000, CompletionPriceMicros: 200_000, PriorQuality: 0.9}},
		Organisations: []*bronzeturnv1.Organisation{
			{Name: "bench", KeySha256: []string{hex.EncodeToString(sum[:])}, AllowedModels: []string{"small"}},
		},
		Pools: []*bronzeturnv1.Pool{{Name: "pool"}},
	}
	for i, address := range s.engines {
		register.Engines = append(register.Engines, &bronzeturnv1.Engine{
			Name: fmt.Sprintf("engine-%d", i+1), Pool: "pool", DataCentre: "hall", Host: fmt.Sprintf("backend-%d", i+1),
			Address: address, Versions: []string{"small@1"}, Slots: benchSlots, TokensPerSecond: 100,
		})
	}
	rules, err := config.DecodeRules("rules", []byte(benchRules))
	c.Assert(err, qt.IsNil)
	publisher := config.NewPublisher(config.PublisherOptions{Store: httpstore.New("http://"+store, http.DefaultClient)})
	_, err = publisher.Apply(context.Background(), config.Change{Register: register, Rules: rules})
	c.Assert(err, qt.IsNil)
}

// benchSlots is the number of slots of each engine.
const benchSlots = 512

// benchClient returns a client that keeps an idle connection for each concurrent
// request.
func benchClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096, DisableCompression: true}}
}

// timing holds the times at which the header, the last content and the end of one
// response were read, measured from the start of the request.
type timing struct{ header, content, end time.Duration }

var (
	errIncomplete = fmt.Errorf("response has an error status or is incomplete")
	contentMark   = []byte(`"content":"`)
	doneMark      = []byte("data: [DONE]")
)

// sendTimed sends one request and reads its response line by line.
func sendTimed(client *http.Client, address string, stream bool, start time.Time) (timing, error) {
	body := `{"model":"small@1","stream":` + strconv.FormatBool(stream) + `,"messages":[{"role":"user","content":"battery of bike 7?"}]}`
	req, err := http.NewRequest(http.MethodPost, "http://"+address+callerapi.PathChatCompletions, strings.NewReader(body))
	if err != nil {
		return timing{}, err
	}
	req.Header.Set("Authorization", "Bearer "+benchKey)
	resp, err := client.Do(req)
	if err != nil {
		return timing{}, err
	}
	defer resp.Body.Close()
	t := timing{header: time.Since(start)}
	complete := !stream
	reader := bufio.NewReader(resp.Body)
	for {
		line, err := reader.ReadSlice('\n')
		if bytes.Contains(line, contentMark) {
			t.content = time.Since(start)
		}
		complete = complete || bytes.HasPrefix(line, doneMark)
		if err == io.EOF {
			break
		}
		if err != nil {
			return t, err
		}
	}
	t.end = time.Since(start)
	if !complete || resp.StatusCode != http.StatusOK {
		return t, errIncomplete
	}
	return t, nil
}

// openLoop sends requests at a fixed rate, independently of the responses, and
// collects their timings.
type openLoop struct {
	mu      sync.Mutex
	timings []timing
	failed  int
}

func (o *openLoop) run(client *http.Client, address string, stream bool, start time.Time, rate int, length time.Duration) {
	var sending sync.WaitGroup
	interval := time.Second / time.Duration(rate)
	for i := range int(length / interval) {
		due := start.Add(time.Duration(i) * interval)
		time.Sleep(time.Until(due))
		// Measured from the actual start, since a late timer of this process must
		// not count as latency.
		sent := time.Now()
		sending.Go(func() {
			t, err := sendTimed(client, address, stream, sent)
			o.mu.Lock()
			defer o.mu.Unlock()
			if err != nil {
				o.failed++
				return
			}
			o.timings = append(o.timings, t)
		})
	}
	sending.Wait()
}

// quantile returns a quantile in microseconds.
func (o *openLoop) quantile(q float64, of func(timing) time.Duration) float64 {
	var values []time.Duration
	for _, t := range o.timings {
		values = append(values, of(t))
	}
	slices.Sort(values)
	return float64(values[int(q*float64(len(values)-1))].Nanoseconds()) / 1000
}

// BenchmarkAddedLatency measures the latency that a daemon adds. It sends 500
// requests per second to an engine directly and, at the same time, as many through
// a daemon.
func BenchmarkAddedLatency(b *testing.B) {
	const rate = 500
	const length = 10 * time.Second
	s := startBench(b, 1, nil, "--slots", strconv.Itoa(benchSlots), "--tokens-per-second", "0", "--prefill-tokens-per-second", "0", "--answer-tokens", "16")
	for _, stream := range []bool{true, false} {
		b.Run(fmt.Sprintf("stream=%v", stream), func(b *testing.B) {
			client := benchClient()
			var warm openLoop
			warm.run(client, s.daemon, stream, time.Now(), rate, time.Second)
			for b.Loop() {
				var direct, through openLoop
				var both sync.WaitGroup
				start := time.Now()
				both.Go(func() { direct.run(client, s.engines[0], stream, start, rate, length) })
				both.Go(func() { through.run(client, s.daemon, stream, start.Add(time.Millisecond), rate, length) })
				both.Wait()
				if direct.failed+through.failed > 0 {
					b.Fatalf("%d direct and %d requests through the daemon failed", direct.failed, through.failed)
				}
				reportAddedLatency(b, "first", &direct, &through, func(t timing) time.Duration { return t.header })
				if stream {
					reportAddedLatency(b, "content", &direct, &through, func(t timing) time.Duration { return t.content })
				}
				reportAddedLatency(b, "end", &direct, &through, func(t timing) time.Duration { return t.end })
			}
		})
	}
}

// reportAddedLatency reports quantiles of the direct requests and how much higher
// those of the requests through the daemon are.
func reportAddedLatency(b *testing.B, what string, direct, through *openLoop, of func(timing) time.Duration) {
	for name, q := range map[string]float64{"p50": 0.5, "p99": 0.99} {
		d, t := direct.quantile(q, of), through.quantile(q, of)
		b.ReportMetric(d, what+"-direct-"+name+"-us")
		b.ReportMetric(t-d, what+"-added-"+name+"-us")
	}
}

// cpuTime returns the user and system CPU time that a process has used.
func cpuTime(c *qt.C, pid int) time.Duration {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	c.Assert(err, qt.IsNil)
	fields := strings.Fields(string(data[bytes.LastIndexByte(data, ')')+1:]))
	var ticks int64
	for _, field := range fields[11:13] {
		n, err := strconv.ParseInt(field, 10, 64)
		c.Assert(err, qt.IsNil)
		ticks += n
	}
	const ticksPerSecond = 100
	return time.Duration(ticks) * time.Second / ticksPerSecond
}

// BenchmarkStreamedTokens measures how many streamed tokens a daemon limited to
// one core relays to a number of concurrent callers.
func BenchmarkStreamedTokens(b *testing.B) {
	cases := []struct {
		name    string
		engines int
		callers int
		flags   []string
	}{
		// The engines write 32 tokens at once, as fast as they are read.
		{"batched", 2, 16, []string{"--tokens-per-second", "0", "--answer-tokens", "4000"}},
		// 1,200 streams of 50 tokens per second, each token in its own write.
		{"paced", 4, 1200, []string{"--tokens-per-second", "50", "--answer-tokens", "500"}},
	}
	for _, test := range cases {
		b.Run(test.name, func(b *testing.B) {
			c := qt.New(b)
			flags := append([]string{"--slots", strconv.Itoa(benchSlots), "--queue-limit", "0", "--prefill-tokens-per-second", "0"}, test.flags...)
			s := startBench(b, test.engines, []string{"GOMAXPROCS=1"}, flags...)
			for b.Loop() {
				s.measureTokens(b, c, test.callers)
			}
		})
	}
}

// measureTokens reads streams with concurrent callers and reports the token rates,
// measured for a fixed time after a warm-up.
func (s *benchSystem) measureTokens(b *testing.B, c *qt.C, callers int) {
	const warmUp, length = 4 * time.Second, 8 * time.Second
	ctx, cancel := context.WithCancel(context.Background())
	var tokens, failed atomic.Int64
	var reading sync.WaitGroup
	client := benchClient()
	for i := range callers {
		reading.Go(func() {
			for number := 0; ctx.Err() == nil; number++ {
				if s.readTokens(ctx, client, fmt.Sprintf("bike %d, check %d", i, number), &tokens) != nil && ctx.Err() == nil {
					failed.Add(1)
					time.Sleep(100 * time.Millisecond)
				}
			}
		})
	}
	time.Sleep(warmUp)
	start, before, used := time.Now(), tokens.Load(), cpuTime(c, s.pid)
	if path := os.Getenv("BRONZETURN_BENCH_PROFILE"); path != "" {
		writeProfile(c, s.admin, path)
	}
	time.Sleep(time.Until(start.Add(length)))
	elapsed, count, spent := time.Since(start), float64(tokens.Load()-before), cpuTime(c, s.pid)-used
	cancel()
	reading.Wait()
	b.ReportMetric(count/elapsed.Seconds(), "tokens/s")
	b.ReportMetric(count/spent.Seconds(), "tokens/core-s")
	b.ReportMetric(spent.Seconds()/elapsed.Seconds(), "cores")
	b.ReportMetric(float64(failed.Load()), "failed")
}

// writeProfile writes a CPU profile of the daemon to a file.
func writeProfile(c *qt.C, admin, path string) {
	resp, err := http.Get("http://" + admin + "/debug/pprof/profile?seconds=5")
	c.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(os.WriteFile(path, data, 0o600), qt.IsNil)
}

// readTokens reads one stream and adds its tokens to the counter as they arrive.
func (s *benchSystem) readTokens(ctx context.Context, client *http.Client, prompt string, tokens *atomic.Int64) error {
	body := fmt.Sprintf(`{"stream":true,"messages":[{"role":"user","content":%q}]}`, prompt)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.daemon+callerapi.PathChatCompletions, strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+benchKey)
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return &net.OpError{Op: "status " + resp.Status, Err: errIncomplete}
	}
	buf := make([]byte, 64<<10)
	for {
		n, err := resp.Body.Read(buf)
		tokens.Add(int64(bytes.Count(buf[:n], contentMark)))
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
