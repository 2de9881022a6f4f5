package e2e

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/bronzeturn/bronzeturn/config"
	"github.com/bronzeturn/bronzeturn/demo"
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/hostlist"
	"github.com/bronzeturn/bronzeturn/standin"
)

// deployment is a small platform of stand-ins and a fleet of daemons, each a process.
type deployment struct {
	store, hosts, rating string
	storeProcess         *process
	engines              []*process
	engineAddresses      []string
	// engineRoutes are the addresses that the register names for the engines.
	engineRoutes    []string
	service         string
	daemons         []*daemon
	register, rules string
}

// daemon is a bronzeturnd process with the addresses of its listeners.
type daemon struct {
	*process
	name                             string
	callers, peers, operators, admin string
}

// The versions of the small deployment.
const (
	cheap  = "small@1"
	strong = "large@1"
	key    = "key-depot"
)

// engineSlots is how many requests an engine runs at a time.
const engineSlots = 4

// deploymentSpec describes a deployment: its size, further flags and engine addresses.
type deploymentSpec struct {
	daemons, engines int
	// engineArgs and daemonArgs are further flags of the engines and the daemons.
	engineArgs, daemonArgs []string
	// route returns the address that the register names for an engine at the given
	// address. Nil means the engine's own address.
	route func(address string) string
}

// deploy starts a platform with engines, and daemons that use it, and applies the
// configuration with the command-line tool.
func deploy(c *qt.C, daemons, engines int) *deployment {
	return deployWith(c, deploymentSpec{daemons: daemons, engines: engines})
}

// deployInOutage deploys three daemons and two engines, has one request served, and then makes
// the store refuse all calls.
func deployInOutage(c *qt.C) *deployment {
	d := deploy(c, 3, 2)
	before := demo.Chat{Key: key, Prompt: "before"}
	c.Assert(send(before, d.daemons[0].callers).Check(before), qt.IsNil)
	setFaults(c, d.store, standin.Faults{Refuse: true})
	return d
}

func deployWith(c *qt.C, spec deploymentSpec) *deployment {
	d := &deployment{}
	hostFile := filepath.Join(c.TempDir(), "hosts.json")
	writeJSON(c, hostFile, hostEntries(spec.daemons, spec.engines))
	d.storeProcess, d.store = startStandIn(c, "object-api")
	_, d.hosts = startStandIn(c, "host-list", "--hosts", hostFile)
	_, d.rating = startStandIn(c, "rating")
	for range spec.engines {
		d.startEngine(c, spec)
	}
	_, d.service = startStandIn(c, "plain-service", "--name", "tickets")
	d.writeConfiguration(c)
	for i := range spec.daemons {
		d.startDaemon(c, demo.DaemonName(i), spec.daemonArgs...)
	}
	d.apply(c)
	for _, daemon := range d.daemons {
		daemon.waitReady(c)
		eventually(c, "all daemons known", func() bool { return len(entriesOf(c, daemon)) == min(spec.daemons, 3) })
	}
	return d
}

func (d *deployment) startEngine(c *qt.C, spec deploymentSpec) {
	args := []string{"engine", "--versions", cheap + "," + strong, "--slots", strconv.Itoa(engineSlots), "--tokens-per-second", "200"}
	engine, address := startStandIn(c, append(args, spec.engineArgs...)...)
	d.engines = append(d.engines, engine)
	d.engineAddresses = append(d.engineAddresses, address)
	if spec.route != nil {
		address = spec.route(address)
	}
	d.engineRoutes = append(d.engineRoutes, address)
}

// hostEntries returns the host list of a deployment.
func hostEntries(daemons, engines int) []hostlist.Host {
	var hosts []hostlist.Host
	for i := range daemons {
		hosts = append(hosts, hostlist.Host{Name: demo.DaemonName(i), DataCentre: "hall", Role: hostlist.RoleEntry, State: hostlist.StateLive})
	}
	for i := range engines {
		hosts = append(hosts, hostlist.Host{Name: backendName(i), DataCentre: "hall", Role: hostlist.RoleBackend, State: hostlist.StateLive})
	}
	return append(hosts, hostlist.Host{Name: "service-host", DataCentre: "hall", Role: hostlist.RoleBackend, State: hostlist.StateLive})
}

func backendName(number int) string { return fmt.Sprintf("backend-%d", number+1) }

// startDaemon starts a daemon with the daemons in d.daemons as seeds, and adds it to them.
func (d *deployment) startDaemon(c *qt.C, name string, args ...string) *daemon {
	var seeds []string
	for _, other := range d.daemons {
		seeds = append(seeds, other.peers)
	}
	daemon := &daemon{name: name}
	daemon.process = startProcess(c, name, "bronzeturnd", append(args,
		"--name", name, "--data-centre", "hall",
		"--caller-listen", "127.0.0.1:0", "--peer-listen", "127.0.0.1:0",
		"--operator-listen", "127.0.0.1:0", "--admin-listen", "127.0.0.1:0",
		"--store-url", "http://"+d.store, "--host-list-url", "http://"+d.hosts, "--rating-url", "http://"+d.rating,
		"--insecure-plaintext-peers", "--insecure-plaintext-operators",
		"--seeds", strings.Join(seeds, ","))...)
	var started struct{ Message, Callers, Peers, Operators, Admin string }
	daemon.waitLine(c, "start", func(line string) bool {
		return json.Unmarshal([]byte(line), &started) == nil && started.Message == "daemon started"
	})
	daemon.callers, daemon.peers, daemon.operators, daemon.admin = started.Callers, started.Peers, started.Operators, started.Admin
	d.daemons = append(d.daemons, daemon)
	return daemon
}

// waitReady waits until the daemon reports that it is ready.
func (d *daemon) waitReady(c *qt.C) {
	deadline := time.Now().Add(waitLimit)
	for time.Now().Before(deadline) {
		resp, err := http.Get("http://" + d.admin + "/readyz")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	c.Fatalf("%s did not become ready:\n%s", d.name, d.output())
}

// writeConfiguration writes the register and the rules of the deployment to files.
func (d *deployment) writeConfiguration(c *qt.C) {
	folder := c.TempDir()
	d.register = filepath.Join(folder, "register.yaml")
	d.rules = filepath.Join(folder, "rules.yaml")
	writeMessage(c, d.register, d.registerMessage())
	rules, err := config.DecodeRules("rules", []byte(rulesText))
	c.Assert(err, qt.IsNil)
	writeMessage(c, d.rules, rules)
}

// rulesText are the rules of the small deployment.
const rulesText = `
kinds:
  - {name: default, quality_target: 0.5, idempotent: true, deadline: 30s, progress_timeout: 2s, expected_completion_tokens: 32}
  - {name: report, quality_target: 0.85, idempotent: true, deadline: 30s, progress_timeout: 2s, expected_completion_tokens: 32}
  - {name: checked, quality_target: 0.75, idempotent: true, cascade: true, deadline: 8s, progress_timeout: 2s, expected_completion_tokens: 32}
  - {name: tag, quality_target: 0.5, idempotent: false, deadline: 6s, progress_timeout: 2s, expected_completion_tokens: 8}
`

func (d *deployment) registerMessage() *bronzeturnv1.Register {
	r := &bronzeturnv1.Register{
		DataCentres: []*bronzeturnv1.DataCentre{{Name: "hall", Region: "north"}},
		Models:      []*bronzeturnv1.Model{{Name: "small"}, {Name: "large"}},
		Versions: []*bronzeturnv1.Version{
			{Name: cheap, Model: "small", PromptPriceMicros: 100_000, CompletionPriceMicros: 200_000, PriorQuality: 0.7},
			{Name: strong, Model: "large", PromptPriceMicros: 1_000_000, CompletionPriceMicros: 3_000_000, PriorQuality: 0.95},
		},
		Organisations: []*bronzeturnv1.Organisation{
			{Name: "depot", KeySha256: []string{keyHash(key)}, AllowedModels: []string{"small", "large"}, AllowedServices: []string{"tickets"}},
			{Name: "kiosks", KeySha256: []string{keyHash("key-kiosks")}, AllowedVersions: []string{cheap}},
		},
		Pools: []*bronzeturnv1.Pool{{Name: "pool"}},
		Services: []*bronzeturnv1.Service{{Name: "tickets", Idempotent: false, CallPriceMicros: 1000,
			Instances: []*bronzeturnv1.ServiceInstance{{Host: "service-host", Address: d.service, DataCentre: "hall"}}}},
	}
	for i, address := range d.engineRoutes {
		r.Engines = append(r.Engines, &bronzeturnv1.Engine{
			Name: fmt.Sprintf("engine-%d", i+1), Pool: "pool", DataCentre: "hall", Host: backendName(i),
			Address: address, Versions: []string{cheap, strong}, Slots: engineSlots, TokensPerSecond: 200,
		})
	}
	return r
}

// apply applies the configuration with the command-line tool.
func (d *deployment) apply(c *qt.C) {
	out, code := runCLI("apply", "--store", "http://"+d.store, d.register, d.rules)
	c.Assert(code, qt.Equals, 0, qt.Commentf("%s", out))
}

// keyHash returns the digest of a key as the register holds it.
func keyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func writeMessage(c *qt.C, path string, m proto.Message) {
	data, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(m)
	c.Assert(err, qt.IsNil)
	c.Assert(os.WriteFile(path, data, 0o600), qt.IsNil)
}

func writeJSON(c *qt.C, path string, v any) {
	data, err := json.Marshal(v)
	c.Assert(err, qt.IsNil)
	c.Assert(os.WriteFile(path, data, 0o600), qt.IsNil)
}

// setFaults replaces the faults of a stand-in.
func setFaults(c *qt.C, address string, faults standin.Faults) {
	data, err := json.Marshal(faults)
	c.Assert(err, qt.IsNil)
	req, err := http.NewRequest(http.MethodPut, "http://"+address+standin.PathFaults, bytes.NewReader(data))
	c.Assert(err, qt.IsNil)
	resp, err := http.DefaultClient.Do(req)
	c.Assert(err, qt.IsNil)
	resp.Body.Close()
	c.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
}

// executions returns how often each request ran, by request id, over all engines.
func (d *deployment) executions(c *qt.C) map[string]int {
	sum := make(map[string]int)
	for _, address := range d.engineAddresses {
		resp, err := http.Get("http://" + address + standin.PathExecutions)
		c.Assert(err, qt.IsNil)
		var counts map[string]int
		c.Assert(json.NewDecoder(resp.Body).Decode(&counts), qt.IsNil)
		resp.Body.Close()
		for id, count := range counts {
			sum[id] += count
		}
	}
	return sum
}

// total returns the sum of all executions.
func total(executions map[string]int) int {
	sum := 0
	for _, count := range executions {
		sum += count
	}
	return sum
}

// billTotal is a row in the output of the bills command.
type billTotal struct {
	Organisation string `json:"organisation"`
	Version      string `json:"version"`
	Bills        uint64 `json:"bills,string"`
}

// billCount returns the number of bills in the ledger, as the bills command reports it.
func (d *deployment) billCount(c *qt.C, operator string) uint64 {
	out, code := runCLI("bills", "--json", "--insecure-plaintext", "--operator", operator)
	c.Assert(code, qt.Equals, 0, qt.Commentf("%s", out))
	var bills struct{ Totals []billTotal }
	c.Assert(json.Unmarshal([]byte(out), &bills), qt.IsNil, qt.Commentf("%s", out))
	var sum uint64
	for _, t := range bills.Totals {
		sum += t.Bills
	}
	return sum
}

// statusOf returns the state of the fleet with its engines, as a daemon reports it.
func statusOf(c *qt.C, d *daemon) *bronzeturnv1.StatusResponse {
	out, code := runCLI("status", "--json", "--engines", "--insecure-plaintext", "--operator", d.operators)
	c.Assert(code, qt.Equals, 0, qt.Commentf("%s", out))
	var status bronzeturnv1.StatusResponse
	c.Assert(protojson.Unmarshal([]byte(out), &status), qt.IsNil)
	return &status
}

// eventually waits until the condition holds.
func eventually(c *qt.C, what string, holds func() bool) {
	deadline := time.Now().Add(waitLimit)
	for !holds() {
		if time.Now().After(deadline) {
			c.Fatalf("condition not met in time: %s", what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// putHosts replaces the entries of the host list stand-in.
func putHosts(c *qt.C, address string, hosts []hostlist.Host) {
	data, err := json.Marshal(hosts)
	c.Assert(err, qt.IsNil)
	req, err := http.NewRequest(http.MethodPut, "http://"+address+standin.PathHosts, bytes.NewReader(data))
	c.Assert(err, qt.IsNil)
	resp, err := http.DefaultClient.Do(req)
	c.Assert(err, qt.IsNil)
	resp.Body.Close()
	c.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
}

// executionsAt returns the number of executions at one stand-in.
func executionsAt(c *qt.C, address string) int {
	resp, err := http.Get("http://" + address + standin.PathExecutions)
	c.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	var counts map[string]int
	c.Assert(json.NewDecoder(resp.Body).Decode(&counts), qt.IsNil)
	return total(counts)
}
