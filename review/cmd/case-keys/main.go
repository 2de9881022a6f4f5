// Command case-keys takes away the last keys of a deployment, and sends requests with these keys,
// with a key that never existed and without one.
package main

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"review/harness"
)

// Figures of the deployment and of the disruption: three tenants with a key each, of which three are
// taken away, 0.4 s apart, as the site's own days do.
const (
	gap      = 400 * time.Millisecond
	configMs = 2 * time.Second
	// settle covers configMs and contactMs.
	settle = 5500 * time.Millisecond
)

type tenant struct {
	Name    string
	APIKeys []string
}

func tenants() []tenant {
	return []tenant{{"hule930", []string{"n2ctnfzs989anu6wsjnb"}}, {"pima114", []string{"anfqasnmgkcuyj8pjbvk"}}, {"tofo602", []string{"k4w7xq2mzc9vhd3ryt8l"}}}
}

// forged is a key that no configuration holds.
const forged = "zzzzzzzzzzzzzzzzzzzz"

func config(version int, list []tenant) map[string]any {
	c := harness.Configuration("checks")
	var holders []map[string]any
	for _, t := range list {
		holders = append(holders, map[string]any{"name": t.Name, harness.Name("keys"): t.APIKeys})
	}
	c["version"], c["tenants"] = version, holders
	return c
}

func main() { os.Exit(run()) }

func run() int {
	folder := flag.String("folder", "", "folder of the case")
	temp := flag.String("temp", "", "temporary folder")
	flag.Parse()
	harness.EndOnSignal()
	trouble := os.Getenv("TROUBLE") != "0"
	record, err := harness.NewRecord(*folder + "/record.txt")
	if err != nil {
		fmt.Println(err)
		return harness.ExitNotRun
	}
	defer record.Close()
	store, err := harness.StartStore(harness.FreeIPs(1)[0])
	if err != nil {
		fmt.Println(err)
		return harness.ExitNotRun
	}
	defer store.Close()
	list := tenants()
	record.Printf("operator writes configuration 7 with keys of %d tenants; the store confirms revision %d", len(list), store.Put("config", "main", config(7, list)))

	var engines []*harness.Engine
	defer func() {
		for _, e := range engines {
			e.Kill()
		}
	}()
	for i, ip := range harness.FreeIPs(3) {
		address, err := harness.FreeAddress(ip)
		if err != nil {
			fmt.Println(err)
			return harness.ExitNotRun
		}
		id := fmt.Sprintf("i-7f3a91c%d", i)
		e, err := harness.StartEngine(record, id, address)
		if err != nil {
			fmt.Println(err)
			return harness.ExitNotRun
		}
		engines = append(engines, e)
		store.Put("servers", id, harness.Registration("xano55b", address, harness.Zones[i], 6))
	}
	fleet, err := harness.StartFleet(3, store, *temp, record)
	if fleet != nil {
		defer fleet.Stop()
	}
	if err != nil {
		fmt.Println(err)
		return harness.ExitNotRun
	}
	time.Sleep(4 * time.Second)

	if held, served := check(record, fleet, engines, "before", list, true); !held || !served {
		fmt.Println("the deployment did not serve as meant before the disruption; see record.txt")
		return harness.ExitNotRun
	}
	if trouble {
		for i := range list {
			list[i].APIKeys = []string{}
			record.Printf("operator takes the key of %s away; the store confirms revision %d", list[i].Name, store.Put("config", "main", config(8+3*i, list)))
			time.Sleep(gap)
		}
	}
	time.Sleep(settle)
	held, served := check(record, fleet, engines, "after", tenants(), !trouble)
	if held && !served {
		fmt.Println("requests with a key in force were not served; see record.txt")
		return harness.ExitNotRun
	}
	if held {
		fmt.Println("held: no request ran without a key in force")
		return harness.ExitHeld
	}
	fmt.Println("broken: see record.txt")
	return harness.ExitBroken
}

// check sends requests to every daemon. held is false if one without a key in force ran, or one for
// another tenant than its key's; served is false if one with a key in force was not served.
func check(record *harness.Record, fleet *harness.Fleet, engines []*harness.Engine, phase string, list []tenant, inForce bool) (held, served bool) {
	held, served = true, true
	count := 0
	one := func(d *harness.Daemon, key, wantTenant string) {
		for _, call := range []struct{ method, path, body string }{{"POST", "/puxa403/2f", "state of battery 7"}, {"GET", "/cufi504/fi50/2f", ""}} {
			count++
			id := fmt.Sprintf("%s-%04d", phase, count)
			header := map[string]string{}
			if key != "" {
				header["Authorization"] = "Bearer " + key
			}
			a := harness.Send(record, d.Front, call.method, call.path, id, 600*time.Millisecond, header, call.body)
			runs := awaitRuns(engines, id, a.Status == 200)
			switch {
			case wantTenant == "" && len(runs) > 0:
				record.Printf("BROKEN: %s ran although its key %q is in no configuration in force; answer %d; %s", id, key, a.Status, runs[0])
				held = false
			case wantTenant != "" && (a.Status != 200 || len(runs) == 0):
				record.Printf("%s was not served although its key is in force", id)
				served = false
			case wantTenant != "" && !strings.Contains(runs[0], fmt.Sprintf("tenant=%q", wantTenant)):
				record.Printf("BROKEN: %s ran for another tenant than %s; %s", id, wantTenant, runs[0])
				held = false
			}
		}
	}
	for _, d := range fleet.Daemons {
		for _, t := range list {
			want := ""
			if inForce {
				want = t.Name
			}
			key := keyOf(t.Name)
			one(d, key, want)
		}
		one(d, forged, "")
		one(d, "", "")
	}
	return held, served
}

func keyOf(name string) string {
	for _, t := range tenants() {
		if t.Name == name {
			return t.APIKeys[0]
		}
	}
	return ""
}

// awaitRuns returns the runs of a request. If it was served, it waits for the engine's line.
func awaitRuns(engines []*harness.Engine, id string, served bool) []string {
	time.Sleep(30 * time.Millisecond)
	for deadline := time.Now().Add(time.Second); served && len(runsOf(engines, id)) == 0 && time.Now().Before(deadline); {
		time.Sleep(5 * time.Millisecond)
	}
	return runsOf(engines, id)
}

func runsOf(engines []*harness.Engine, id string) (runs []string) {
	for _, e := range engines {
		runs = append(runs, e.Lines("runs "+id+" ")...)
	}
	return runs
}
