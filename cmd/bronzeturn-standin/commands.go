package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/bronzeturn/bronzeturn/hostlist"
	"github.com/bronzeturn/bronzeturn/standin"
)

type objectAPICommand struct {
	ReadsPerSecond  float64       `help:"Limit of reads per second, 0 for no limit. A watch counts as one read, and as one more for each second it waits." default:"2000"`
	WritesPerSecond float64       `help:"Limit of writes per second, 0 for no limit." default:"400"`
	WatchWait       time.Duration `help:"Longest wait of a watch." default:"30s"`
}

// Run runs the object API.
func (c *objectAPICommand) Run(o *options) error {
	return serve(o, standin.NewObjectAPI(standin.ObjectAPIConfig{
		ReadsPerSecond: c.ReadsPerSecond, WritesPerSecond: c.WritesPerSecond, WatchWait: c.WatchWait,
	}))
}

type hostListCommand struct {
	Lag   time.Duration `help:"Time until a change becomes visible." default:"500ms"`
	Hosts string        `help:"JSON file with the initial hosts." type:"existingfile"`
}

// Run runs the host list.
func (c *hostListCommand) Run(o *options) error {
	var hosts []hostlist.Host
	if err := readFile(c.Hosts, &hosts); err != nil {
		return err
	}
	return serve(o, standin.NewHostList(standin.HostListConfig{Lag: c.Lag, Hosts: hosts}))
}

type ratingCommand struct {
	Lag            time.Duration      `help:"Time until a rating becomes visible." default:"2s"`
	Quality        string             `help:"JSON file with a list of {version, kind, quality}." type:"existingfile"`
	DefaultQuality float64            `help:"Quality of versions that are not in the file." default:"0.9"`
	Noise          float64            `help:"Standard deviation of a score." default:"0.05"`
	Answered       float64            `help:"Share of the samples that are rated." default:"1"`
	Bias           map[string]float64 `help:"Value added to the scores of an organisation, ORGANISATION=VALUE."`
}

// Run runs the rating service.
func (c *ratingCommand) Run(o *options) error {
	var quality []standin.Quality
	if err := readFile(c.Quality, &quality); err != nil {
		return err
	}
	return serve(o, standin.NewRatingService(standin.RatingServiceConfig{
		Quality: quality, DefaultQuality: c.DefaultQuality, Noise: c.Noise,
		Bias: c.Bias, RatedShare: c.Answered, Lag: c.Lag,
	}))
}

type weightStoreCommand struct {
	Weights        map[string]int64 `name:"weights" help:"Size in bytes of a version, VERSION=BYTES."`
	CallsPerSecond float64          `help:"Limit of calls per second, 0 for no limit." default:"1"`
	BytesPerSecond int64            `help:"Bytes per second of a transfer, 0 for no delay." default:"1000000000"`
}

// Run runs the weight store.
func (c *weightStoreCommand) Run(o *options) error {
	return serve(o, standin.NewWeightStore(standin.WeightStoreConfig{
		Versions: c.Weights, CallsPerSecond: c.CallsPerSecond, BytesPerSecond: c.BytesPerSecond,
	}))
}

type engineCommand struct {
	Versions               []string      `help:"Versions loaded at the start." required:""`
	Slots                  int           `help:"Number of requests decoded at the same time." default:"8"`
	QueueLimit             int           `help:"Largest number of waiting requests, 0 for no limit." default:"256"`
	TokensPerSecond        float64       `help:"Tokens per second that one slot generates, 0 for as fast as possible." default:"50"`
	PrefillTokensPerSecond float64       `help:"Prompt tokens per second that are processed when not cached, 0 for no delay." default:"5000"`
	AnswerTokens           int           `help:"Usual length of an answer in tokens." default:"32"`
	CacheBlocks            int           `help:"Size of the prefix cache, in blocks of 256 bytes." default:"4096"`
	CacheEventLag          time.Duration `help:"Delay of cache events." default:"500ms"`
	CacheEventGap          uint64        `help:"Drop one in this many cache events, 0 for none." default:"50"`
	ReportLag              time.Duration `help:"Age of the load in load reports." default:"200ms"`
	CheckFencing           bool          `help:"Refuse orders and requests with an outdated fencing number."`
	LoadTime               time.Duration `help:"Time to load a version." default:"2s"`
	Role                   string        `help:"Initial role." default:"general"`
	CrashOn                string        `help:"Text that makes the engine crash when it begins a request whose prompt contains it."`
}

// Run runs a model engine.
func (c *engineCommand) Run(o *options) error {
	return serve(o, standin.NewEngine(standin.EngineConfig{
		Versions: c.Versions, Slots: c.Slots, QueueLimit: c.QueueLimit,
		TokensPerSecond: c.TokensPerSecond, PrefillTokensPerSecond: c.PrefillTokensPerSecond,
		AnswerTokens: c.AnswerTokens, CacheBlocks: c.CacheBlocks,
		CacheEventLag: c.CacheEventLag, CacheEventGap: c.CacheEventGap, ReportLag: c.ReportLag,
		CheckFencing: c.CheckFencing, LoadTime: c.LoadTime, Role: c.Role, CrashOn: c.CrashOn,
	}))
}

type plainServiceCommand struct {
	Name string        `help:"Name shown in the answers." default:"plain"`
	Work time.Duration `help:"Time that a call takes." default:"5ms"`
}

// Run runs a plain service.
func (c *plainServiceCommand) Run(o *options) error {
	return serve(o, standin.NewPlainService(standin.PlainServiceConfig{Name: c.Name, CallDuration: c.Work}))
}

// readFile decodes a JSON file into into. If name is empty, it does nothing.
func readFile(name string, into any) error {
	if name == "" {
		return nil
	}
	data, err := os.ReadFile(name)
	if err != nil {
		return fmt.Errorf("read file: %w", err)
	}
	if err := json.Unmarshal(data, into); err != nil {
		return fmt.Errorf("decode %s: %w", name, err)
	}
	return nil
}
