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
	// hostListLag and ratingLag are how late the stand-ins show news.
	hostListLag = 200 * time.Millisecond
	ratingLag   = 500 * time.Millisecond
	reportLag   = 500 * time.Millisecond
	// speedUp makes the engines of the demo faster than the register says, so
	// that long reports end within the time of the demo.
	speedUp = 8
	// answerTokens is the usual length of an answer.
	answerTokens = 160
	// prefillTokensPerSecond is the rate at which engines read prompts.
	prefillTokensPerSecond = 20_000
	// ratingNoise is the standard deviation of one rating.
	ratingNoise = 0.05
	// serviceWork is the time that a call of a plain service takes.
	serviceWork = 5 * time.Millisecond
)

// Platform holds the stand-ins of one deployment, each on a loopback port.
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

	// engineConfig gives the properties of an engine's stand-in.
	engineConfig func(*bronzeturnv1.Engine) standin.EngineConfig

	cancel context.CancelFunc
	done   sync.WaitGroup
}

// StartPlatform starts the stand-ins of an example with so many daemon hosts,
// whose names DaemonName gives.
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

// engineConfig gives an engine the properties that the register states, faster
// by speedUp.
func engineConfig(e *bronzeturnv1.Engine) standin.EngineConfig {
	return standin.EngineConfig{
		Versions:               e.GetVersions(),
		Slots:                  int(e.GetSlots()),
		TokensPerSecond:        e.GetTokensPerSecond() * speedUp,
		PrefillTokensPerSecond: prefillTokensPerSecond,
		AnswerTokens:           answerTokens,
		ReportLag:              reportLag,
	}
}

// readExample decodes the register and the rules of an example.
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

// Stop ends all stand-ins.
func (p *Platform) Stop() {
	p.cancel()
	p.done.Wait()
}

// start starts each stand-in and writes its address into the register.
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

// server is a stand-in.
type server interface {
	Serve(ctx context.Context, l net.Listener) error
}

// serve runs a stand-in on a free loopback port.
func (p *Platform) serve(ctx context.Context, s server) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen for a stand-in: %w", err)
	}
	p.done.Go(func() {
		_ = s.Serve(ctx, l) // It ends with ctx.
	})
	return l.Addr().String(), nil
}

func (p *Platform) startEngines(ctx context.Context) error {
	fenced := make(map[string]bool)
	for _, pool := range p.Register.GetPools() {
		fenced[pool.GetName()] = pool.GetChecksFencing()
	}
	for _, e := range p.Register.GetEngines() {
		c := p.engineConfig(e)
		c.CheckFencing = fenced[e.GetPool()]
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
			service := standin.NewPlainService(standin.PlainServiceConfig{Name: s.GetName(), CallDuration: serviceWork})
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

// DaemonName is the host of the daemon with the number given.
func DaemonName(number int) string { return fmt.Sprintf("entry-%d", number+1) }

// DataCentre is that of the daemon with the number given.
func (p *Platform) DataCentre(number int) string {
	all := p.Register.GetDataCentres()
	return all[number%len(all)].GetName()
}

// hosts lists the hosts of the daemons and of all backend servers.
func (p *Platform) hosts(daemons int) []hostlist.Host {
	var hosts []hostlist.Host
	for i := range daemons {
		hosts = append(hosts, hostlist.Host{Name: DaemonName(i), DataCentre: p.DataCentre(i), Role: hostlist.RoleEntry, State: hostlist.Live})
	}
	backend := func(name, dataCentre string) {
		known := slices.ContainsFunc(hosts, func(h hostlist.Host) bool { return h.Name == name })
		if !known {
			hosts = append(hosts, hostlist.Host{Name: name, DataCentre: dataCentre, Role: hostlist.RoleBackend, State: hostlist.Live})
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

// qualities are the true qualities: those that the register believes.
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

// enginesOf names the engines that executed a request, one entry for each time.
func (p *Platform) enginesOf(requestID string) []string {
	var names []string
	for name, e := range p.Engines {
		for range e.Executions()[requestID] {
			names = append(names, name)
		}
	}
	return names
}

// poolsByRequest returns the pools that executed each request, joined by "+".
func (p *Platform) poolsByRequest() map[string]string {
	pools := make(map[string]string)
	for _, pool := range p.Register.GetPools() {
		for id := range p.executedIn(pool.GetName()) {
			if pools[id] != "" {
				pools[id] += "+"
			}
			pools[id] += pool.GetName()
		}
	}
	return pools
}

// executedIn returns the ids of the requests that a pool executed.
func (p *Platform) executedIn(pool string) map[string]bool {
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

// Withdraw withdraws a version and returns the generation that says so.
func (p *Platform) Withdraw(ctx context.Context, version, reason string) (uint64, error) {
	publisher := config.NewPublisher(config.PublisherOptions{Store: p.Store.Store()})
	result, err := publisher.Apply(ctx, config.Change{Withdraw: &bronzeturnv1.Withdrawal{Version: version, Reason: reason}})
	return result.Generation, err
}

// Publish puts the register and the rules in force through the store.
func (p *Platform) Publish(ctx context.Context) error {
	publisher := config.NewPublisher(config.PublisherOptions{Store: p.Store.Store()})
	_, err := publisher.Apply(ctx, config.Change{
		Register: proto.CloneOf(p.Register),
		Rules:    proto.CloneOf(p.Rules),
	})
	return err
}
