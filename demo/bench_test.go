package demo

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/types/known/durationpb"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/load"
	"github.com/bronzeturn/bronzeturn/standin"
)

// Properties of the only version, organisation and engine in the benchmarks.
const (
	benchVersion = "bench@1"
	benchKey     = "key-bench"
	benchSlots   = 1024
)

// startBench starts three daemons and one engine, whose stand-in has the given
// configuration, and returns the addresses of the first daemon and of the engine.
func startBench(c *qt.C, config standin.EngineConfig) (daemon, engine string) {
	config.Versions, config.Slots = []string{benchVersion}, benchSlots
	digest := sha256.Sum256([]byte(benchKey))
	p := &Platform{
		Register: &bronzeturnv1.Register{
			DataCentres:   []*bronzeturnv1.DataCentre{{Name: "hall"}},
			Models:        []*bronzeturnv1.Model{{Name: "bench"}},
			Versions:      []*bronzeturnv1.Version{{Name: benchVersion, Model: "bench", PriorQuality: 0.9}},
			Organisations: []*bronzeturnv1.Organisation{{Name: "bench", KeySha256: []string{hex.EncodeToString(digest[:])}, AllowedModels: []string{"bench"}}},
			Pools:         []*bronzeturnv1.Pool{{Name: "pool"}},
			Engines: []*bronzeturnv1.Engine{{
				Name: "engine", Pool: "pool", DataCentre: "hall", Host: "backend",
				Versions: []string{benchVersion}, Slots: benchSlots, TokensPerSecond: 250,
			}},
		},
		Rules: &bronzeturnv1.Rules{Kinds: []*bronzeturnv1.TaskKind{{
			Name: "default", QualityTarget: 0.5, Idempotent: true, ExpectedCompletionTokens: 32,
			Deadline: durationpb.New(time.Minute), ProgressTimeout: durationpb.New(10 * time.Second),
		}}},
		engineConfig: func(*bronzeturnv1.Engine) standin.EngineConfig { return config },
	}
	c.Assert(p.start(3), qt.IsNil)
	c.Cleanup(p.Stop)
	c.Assert(p.Publish(context.Background()), qt.IsNil)
	f, err := StartFleet(p, FleetOptions{Daemons: 3, Log: io.Discard})
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { c.Check(f.Stop(), qt.IsNil) })
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	c.Assert(f.WaitReady(ctx), qt.IsNil)
	return f.Daemons[0].CallerAddress(), p.Register.Engines[0].GetAddress()
}

// benchClient returns a client that keeps enough idle connections for all requests
// in progress.
func benchClient(c *qt.C) *http.Client {
	transport := &http.Transport{MaxIdleConnsPerHost: benchSlots}
	c.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport, Timeout: time.Minute}
}

// streamResult holds the latencies and the number of tokens of a streamed answer.
type streamResult struct {
	firstToken, total time.Duration
	tokens            int
	err               error
}

var eventStart = []byte("data:")

// stream requests a streamed answer and reads it to the end without decoding the
// events.
func stream(client *http.Client, address, prompt string) streamResult {
	start := time.Now()
	request, err := Chat{Key: benchKey, Model: benchVersion, Prompt: prompt, Stream: true}.NewRequest(context.Background(), address)
	if err != nil {
		return streamResult{err: err}
	}
	response, err := client.Do(request)
	if err != nil {
		return streamResult{err: err}
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return streamResult{err: fmt.Errorf("status %d", response.StatusCode)}
	}
	var s streamResult
	lines := bufio.NewReader(response.Body)
	for {
		line, err := lines.ReadSlice('\n')
		if err == io.EOF {
			s.total = time.Since(start)
			return s
		}
		if err != nil {
			return streamResult{err: err}
		}
		if !bytes.HasPrefix(line, eventStart) {
			continue
		}
		if s.tokens++; s.tokens == 1 {
			s.firstToken = time.Since(start)
		}
	}
}

// measurements collects the results of one of the two compared paths: directly to
// the engine, or through the daemon.
type measurements struct {
	mu                sync.Mutex
	firstToken, total *load.Latencies
	tokens            int
	lastErr           error
}

func newMeasurements() *measurements {
	return &measurements{firstToken: load.NewLatencies(), total: load.NewLatencies()}
}

func (s *measurements) add(got streamResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if got.err != nil {
		s.lastErr = got.err
		return
	}
	s.firstToken.Record(got.firstToken)
	s.total.Record(got.total)
	s.tokens += got.tokens
}

// BenchmarkAddedLatency alternately sends requests directly to the engine and
// through the daemon, 500 per second each, and reports the latency quantiles of the
// direct requests and what the daemon adds to them. The goal is that it adds at most
// 150 µs to the p50 and 1 ms to the p99 of the time to first token. The end of an
// answer is delayed further, until its bill is recorded.
func BenchmarkAddedLatency(b *testing.B) {
	const interval = time.Second / 500
	c := qt.New(b)
	daemon, engine := startBench(c, standin.EngineConfig{AnswerTokens: 16})
	client := benchClient(c)
	direct, through := newMeasurements(), newMeasurements()
	ticker := time.NewTicker(interval / 2)
	defer ticker.Stop()
	var inFlight sync.WaitGroup
	number := 0
	for b.Loop() {
		number++
		prompt := fmt.Sprintf("request %d", number)
		<-ticker.C
		inFlight.Go(func() { direct.add(stream(client, engine, prompt)) })
		<-ticker.C
		inFlight.Go(func() { through.add(stream(client, daemon, prompt)) })
	}
	inFlight.Wait()
	c.Assert(direct.lastErr, qt.IsNil)
	c.Assert(through.lastErr, qt.IsNil)
	reportAddedLatency(b, "first", direct.firstToken.Quantiles(), through.firstToken.Quantiles())
	reportAddedLatency(b, "total", direct.total.Quantiles(), through.total.Quantiles())
}

func reportAddedLatency(b *testing.B, name string, direct, through load.Quantiles) {
	b.ReportMetric(direct.P50*1000, name+"-direct-p50-µs")
	b.ReportMetric((through.P50-direct.P50)*1000, name+"-added-p50-µs")
	b.ReportMetric(direct.P99*1000, name+"-direct-p99-µs")
	b.ReportMetric((through.P99-direct.P99)*1000, name+"-added-p99-µs")
}

// BenchmarkStreamedTokens runs 200 streams of 250 tokens per second directly to the
// engine and then through the daemon. The CPU time of the daemon per token is the
// difference between the two, since the engine and the callers run in this process
// and do the same work in both cases. The goal is 50,000 tokens per second on one
// core.
func BenchmarkStreamedTokens(b *testing.B) {
	const streams = 200
	c := qt.New(b)
	daemon, engine := startBench(c, standin.EngineConfig{AnswerTokens: 500, TokensPerSecond: 250})
	client := benchClient(c)
	var direct, through, tokens, seconds float64
	for b.Loop() {
		cpu, _ := runStreams(c, client, engine, streams)
		direct += cpu
		start := time.Now()
		cpu, count := runStreams(c, client, daemon, streams)
		through += cpu
		tokens += float64(count)
		seconds += time.Since(start).Seconds()
	}
	perToken := (through - direct) / tokens
	b.ReportMetric(perToken*1e6, "daemon-cpu-µs/token")
	b.ReportMetric(1/perToken, "tokens/daemon-core-s")
	b.ReportMetric(tokens/seconds, "tokens/s")
}

// runStreams runs the given number of concurrent streams and returns the CPU time
// of this process in seconds and the number of tokens.
func runStreams(c *qt.C, client *http.Client, address string, streams int) (cpu float64, tokens int) {
	results := newMeasurements()
	before := cpuSeconds(c)
	var inFlight sync.WaitGroup
	for i := range streams {
		inFlight.Go(func() { results.add(stream(client, address, fmt.Sprintf("stream %d", i))) })
	}
	inFlight.Wait()
	c.Assert(results.lastErr, qt.IsNil)
	return cpuSeconds(c) - before, results.tokens
}

// cpuSeconds returns the CPU time that this process has used so far.
func cpuSeconds(c *qt.C) float64 {
	var usage syscall.Rusage
	c.Assert(syscall.Getrusage(syscall.RUSAGE_SELF, &usage), qt.IsNil)
	total := time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	return total.Seconds()
}
