package demo

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bronzeturn/bronzeturn/config"
	"github.com/bronzeturn/bronzeturn/examples"
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/hostlist"
	"github.com/bronzeturn/bronzeturn/standin"
)

// Properties of the stand-ins of a deployment.
const (
	// hostListLag and ratingLag delay the visibility of host changes and ratings,
	// reportLag is the age of the load in engine reports.
	hostListLag = 200 * time.Millisecond
	ratingLag   = 500 * time.Millisecond
	reportLag   = 500 * time.Millisecond
	// engineSpeedup multiplies the token rates in the register, so that long
	// reports complete within the duration of the demo.
	engineSpeedup = 8
	// answerTokens is the typical length of an answer.
	answerTokens = 160
	// prefillTokensPerSecond is the rate at which engines process prompts.
	prefillTokensPerSecond = 20_000
	// ratingNoise is the standard deviation of a single rating.
	ratingNoise = 0.05
	// serviceCallDuration is the processing time of a plain service call.
	serviceCallDuration = 5 * time.Millisecond
)

// Platform holds the stand-ins for everything but the daemons in one deployment.
// Each of them listens on a loopback port.
type Platform struct {
	Register *bronzeturnv1.Register
	Rules    *bronzeturnv1.Rules

	Store    *standin.ObjectAPI
	Hosts    *standin.HostList
	Rating   *standin.RatingService
	Weights  *standin.WeightStore
	Engines  map[string]*standin.Engine
	Services []*standin.PlainService

	StoreURL, HostsURL, RatingURL, WeightsURL string

	// engineConfig returns the configuration of the stand-in for an engine.
	engineConfig func(*bronzeturnv1.Engine) standin.EngineConfig

	cancel  context.CancelFunc
	serving sync.WaitGroup
}

// StartPlatform starts the stand-ins for an example deployment. Its host list
// contains the given number of daemon hosts, named by DaemonName.
func StartPlatform(example string, daemons int) (*Platform, error) {
	register, rules, err := readExample(example)
	if err != nil {
		return nil, err
	}
	p := &Platform{Register: register, Rules: rules, engineConfig: engineConfig}
	if err := p.start(daemons); err != nil {
		p.Stop()
		return nil, err
	}
	return p, nil
}

// engineConfig takes the properties of an engine from the register and multiplies
// its token rate by engineSpeedup.
func engineConfig(e *bronzeturnv1.Engine) standin.EngineConfig {
	return standin.EngineConfig{
		Versions:               e.GetVersions(),
		Slots:                  int(e.GetSlots()),
		TokensPerSecond:        e.GetTokensPerSecond() * engineSpeedup,
		PrefillTokensPerSecond: prefillTokensPerSecond,
		AnswerTokens:           answerTokens,
		ReportLag:              reportLag,
	}
}

// readExample decodes the register and the rules of an example deployment.
func readExample(example string) (*bronzeturnv1.Register, *bronzeturnv1.Rules, error) {
	registerFile := example + "/register.yaml"
	data, err := examples.Files.ReadFile(registerFile)
	if err != nil {
		return nil, nil, fmt.Errorf("example %s: %w", example, err)
	}
	register, err := config.DecodeRegister(registerFile, data)
	if err != nil {
		return nil, nil, err
	}
	rulesFile := example + "/rules.yaml"
	if data, err = examples.Files.ReadFile(rulesFile); err != nil {
		return nil, nil, fmt.Errorf("example %s: %w", example, err)
	}
	rules, err := config.DecodeRules(rulesFile, data)
	return register, rules, err
}

// Stop stops all stand-ins.
func (p *Platform) Stop() {
	p.cancel()
	p.serving.Wait()
}

// start starts the stand-ins and writes the addresses of the engines and plain
// services into the register.
func (p *Platform) start(daemons int) error {
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.Engines = make(map[string]*standin.Engine)
	p.Store = standin.NewObjectAPI(standin.ObjectAPIConfig{})
	p.Hosts = standin.NewHostList(standin.HostListConfig{Lag: hostListLag, Hosts: p.hosts(daemons)})
	p.Rating = standin.NewRatingService(standin.RatingServiceConfig{Quality: p.qualities(), Noise: ratingNoise, Lag: ratingLag})
	p.Weights = standin.NewWeightStore(standin.WeightStoreConfig{})
	for _, s := range []struct {
		url    *string
		server server
	}{{&p.StoreURL, p.Store}, {&p.HostsURL, p.Hosts}, {&p.RatingURL, p.Rating}, {&p.WeightsURL, p.Weights}} {
		address, err := p.serve(ctx, s.server)
		if err != nil {
			return err
		}
		*s.url = "http://" + address
	}
	if err := p.startEngines(ctx); err != nil {
		return err
	}
	return p.startServices(ctx)
}

// server is implemented by every stand-in.
type server interface {
	Serve(ctx context.Context, l net.Listener) error
}

// serve runs a stand-in on a free loopback port in the background and returns its
// address.
func (p *Platform) serve(ctx context.Context, s server) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen for a stand-in: %w", err)
	}
	p.serving.Go(func() {
		_ = s.Serve(ctx, l) // Returns when ctx ends.
	})
	return l.Addr().String(), nil
}

func (p *Platform) startEngines(ctx context.Context) error {
	checksFencing := make(map[string]bool)
	for _, pool := range p.Register.GetPools() {
		checksFencing[pool.GetName()] = pool.GetChecksFencing()
	}
	for _, e := range p.Register.GetEngines() {
		c := p.engineConfig(e)
		c.CheckFencing = checksFencing[e.GetPool()]
		engine := standin.NewEngine(c)
		address, err := p.serve(ctx, engine)
		if err != nil {
			return err
		}
		e.Address = address
		p.Engines[e.GetName()] = engine
	}
	return nil
}

func (p *Platform) startServices(ctx context.Context) error {
	for _, s := range p.Register.GetServices() {
		for _, instance := range s.GetInstances() {
			service := standin.NewPlainService(standin.PlainServiceConfig{Name: s.GetName(), CallDuration: serviceCallDuration})
			address, err := p.serve(ctx, service)
			if err != nil {
				return err
			}
			instance.Address = address
			p.Services = append(p.Services, service)
		}
	}
	return nil
}

// DaemonName returns the host name of the daemon with the given number.
func DaemonName(number int) string { return fmt.Sprintf("entry-%d", number+1) }

// DataCentre returns the data centre of the daemon with the given number. Daemons
// are assigned to the data centres in turn.
func (p *Platform) DataCentre(number int) string {
	all := p.Register.GetDataCentres()
	return all[number%len(all)].GetName()
}

// hosts returns the hosts of the daemons and of all backend servers.
func (p *Platform) hosts(daemons int) []hostlist.Host {
	var hosts []hostlist.Host
	for i := range daemons {
		hosts = append(hosts, hostlist.Host{Name: DaemonName(i), DataCentre: p.DataCentre(i), Role: hostlist.RoleEntry, State: hostlist.StateLive})
	}
	backend := func(name, dataCentre string) {
		known := slices.ContainsFunc(hosts, func(h hostlist.Host) bool { return h.Name == name })
		if !known {
			hosts = append(hosts, hostlist.Host{Name: name, DataCentre: dataCentre, Role: hostlist.RoleBackend, State: hostlist.StateLive})
		}
	}
	for _, e := range p.Register.GetEngines() {
		backend(e.GetHost(), e.GetDataCentre())
	}
	for _, s := range p.Register.GetServices() {
		for _, instance := range s.GetInstances() {
			backend(instance.GetHost(), instance.GetDataCentre())
		}
	}
	return hosts
}

// qualities returns the true qualities of the versions, which are equal to the
// priors in the register.
func (p *Platform) qualities() []standin.Quality {
	var all []standin.Quality
	for _, v := range p.Register.GetVersions() {
		all = append(all, standin.Quality{Version: v.GetName(), Quality: v.GetPriorQuality()})
		for _, byKind := range v.GetPriorQualityByKind() {
			all = append(all, standin.Quality{Version: v.GetName(), Kind: byKind.GetKind(), Quality: byKind.GetQuality()})
		}
	}
	return all
}

// enginesThatExecuted returns the names of the engines that executed a request,
// with one entry for each execution.
func (p *Platform) enginesThatExecuted(requestID string) []string {
	var names []string
	for name, e := range p.Engines {
		for range e.Executions()[requestID] {
			names = append(names, name)
		}
	}
	return names
}

// poolsByRequest returns the pools that executed each request, by request ID.
// Several pools are joined by "+".
func (p *Platform) poolsByRequest() map[string]string {
	pools := make(map[string]string)
	for _, pool := range p.Register.GetPools() {
		for id := range p.requestsExecutedBy(pool.GetName()) {
			if pools[id] != "" {
				pools[id] += "+"
			}
			pools[id] += pool.GetName()
		}
	}
	return pools
}

// requestsExecutedBy returns the IDs of the requests that a pool executed.
func (p *Platform) requestsExecutedBy(pool string) map[string]bool {
	ids := make(map[string]bool)
	for _, e := range p.Register.GetEngines() {
		if e.GetPool() != pool {
			continue
		}
		for id := range p.Engines[e.GetName()].Executions() {
			ids[id] = true
		}
	}
	return ids
}

// Withdraw publishes the withdrawal of a version and returns the generation of the
// configuration that contains it.
func (p *Platform) Withdraw(ctx context.Context, version, reason string) (uint64, error) {
	publisher := config.NewPublisher(config.PublisherOptions{Store: p.Store.Store()})
	result, err := publisher.Apply(ctx, config.Change{Withdraw: &bronzeturnv1.Withdrawal{Version: version, Reason: reason}})
	return result.Generation, err
}

// Publish publishes the register and the rules through the store.
func (p *Platform) Publish(ctx context.Context) error {
	publisher := config.NewPublisher(config.PublisherOptions{Store: p.Store.Store()})
	_, err := publisher.Apply(ctx, config.Change{
		Register: proto.CloneOf(p.Register),
		Rules:    proto.CloneOf(p.Rules),
	})
	return err
}
