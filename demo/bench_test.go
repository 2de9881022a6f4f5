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

// The one version, organisation and engine of the benchmarks.
const (
	benchVersion = "bench@1"
	benchKey     = "key-bench"
	benchSlots   = 1024
)

// startBench starts one daemon before one engine and returns the addresses of
// both. The engine's stand-in has the given properties.
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

// benchClient keeps enough connections for all requests in progress.
func benchClient(c *qt.C) *http.Client {
	transport := &http.Transport{MaxIdleConnsPerHost: benchSlots}
	c.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport, Timeout: time.Minute}
}

// streamResult is what one streamed answer took.
type streamResult struct {
	firstToken, total time.Duration
	tokens            int
	err               error
}

var eventStart = []byte("data:")

// stream asks for a stream and reads it to the end, without decoding events.
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

// measurements collects the answers of one side of a comparison.
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

// BenchmarkAddedLatency sends 500 requests a second to the engine itself and as
// many through the daemon, in turn, and reports the quantiles of both. The goal
// of the first token is p50 150 µs and p99 1 ms more through the daemon. The end
// of an answer also waits until its bill is recorded.
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

// BenchmarkStreamedTokens runs 200 streams of 250 tokens a second, to the engine
// itself and then through the daemon. The daemon's processor time for a token is
// the difference between the two, since both have the same engine and callers in
// this process. The goal is 50,000 tokens a second on one core.
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

// runStreams runs streams at once and returns the processor seconds of this
// process and the number of tokens.
func runStreams(c *qt.C, client *http.Client, address string, streams int) (cpu float64, tokens int) {
	results := newMeasurements()
	before := processorSeconds(c)
	var inFlight sync.WaitGroup
	for i := range streams {
		inFlight.Go(func() { results.add(stream(client, address, fmt.Sprintf("stream %d", i))) })
	}
	inFlight.Wait()
	c.Assert(results.lastErr, qt.IsNil)
	return processorSeconds(c) - before, results.tokens
}

// processorSeconds is the processor time of this process so far.
func processorSeconds(c *qt.C) float64 {
	var usage syscall.Rusage
	c.Assert(syscall.Getrusage(syscall.RUSAGE_SELF, &usage), qt.IsNil)
	total := time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	return total.Seconds()
}
