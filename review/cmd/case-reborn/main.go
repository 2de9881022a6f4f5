// Command case-reborn cuts the path to an engine in the middle of a stream for 0.6 s. Behind the
// cut the engine crashes and starts again.
package main

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"review/harness"
)

const (
	engines = 5
	events  = 64
	gap     = 50 * time.Millisecond
	// cutFor is the length of the cut, downFor the time between the crash and the new start.
	cutFor  = 600 * time.Millisecond
	downFor = 300 * time.Millisecond
	// cutAfter is the number of events after which the path is cut.
	cutAfter = 20
	streams  = 3
)

// crashOnly is set to have the engine crash and start again without a cut.
var crashOnly bool

const key = "n2ctnfzs989anu6wsjnb"

func main() { os.Exit(run()) }

// server is an engine behind its link.
type server struct {
	engine  *harness.Engine
	link    *harness.Link
	address string
	zone    string
	boots   int
}

func (s *server) start(record *harness.Record, store *harness.Store, index int) error {
	s.boots++
	id := fmt.Sprintf("i-%d%d3a91c2", index, s.boots)
	var err error
	if s.engine, err = harness.StartEngine(record, id, s.address, "-events", fmt.Sprint(events), "-gap", gap.String(), "-until-close"); err != nil {
		return err
	}
	address := s.link.Address
	if crashOnly {
		address = s.address
	}
	store.Put("servers", id, harness.Registration("huvo11a", address, s.zone, 64))
	return nil
}

func run() int {
	folder := flag.String("folder", "", "folder of the case")
	temp := flag.String("temp", "", "temporary folder")
	flag.BoolVar(&crashOnly, "crash-only", false, "no cut: the engine crashes and starts again")
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
	store.Put("config", "main", harness.Configuration("stream"))
	var servers []*server
	defer func() {
		for _, s := range servers {
			s.engine.Kill()
			s.link.Close()
		}
	}()
	for i, ip := range harness.FreeIPs(engines) {
		s := &server{zone: harness.Zones[i%3]}
		if s.address, err = harness.FreeAddress(ip); err == nil {
			s.link, err = harness.StartLink(record, fmt.Sprint("engine ", i), ip, s.address)
		}
		if err == nil {
			err = s.start(record, store, i)
		}
		if err != nil {
			fmt.Println(err)
			return harness.ExitNotRun
		}
		servers = append(servers, s)
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
	held := true
	for n := range streams {
		ok, ran := stream(record, store, fleet, servers, fmt.Sprintf("stream-%d", n+1), trouble)
		if !ran {
			fmt.Println("the stream did not run as meant; see record.txt")
			return harness.ExitNotRun
		}
		held = held && ok
		time.Sleep(5 * time.Second)
	}
	if held {
		fmt.Println("held: no stream ended early as complete")
		return harness.ExitHeld
	}
	fmt.Println("broken: see record.txt")
	return harness.ExitBroken
}

// stream sends one request, and disturbs its engine. ok is false if the stream ended early as
// complete.
func stream(record *harness.Record, store *harness.Store, fleet *harness.Fleet, servers []*server, id string, trouble bool) (ok, ran bool) {
	done := make(chan harness.Answer, 1)
	go func() {
		done <- harness.Send(record, fleet.Daemons[0].Front, "POST", "/pufi791/2f", id, 20*time.Second, harness.PromptHeaders(key), "why did bike 7 stop?")
	}()
	if trouble && !disturb(record, store, servers, id) {
		return false, false
	}
	a := <-done
	last := strings.Count(string(a.Body), "\n\n")
	whole := last == events
	record.Printf("%s: %d events of %d, broken off: %v", id, last, events, a.Aborted)
	if a.Status == 200 && a.Aborted == nil && !whole {
		record.Printf("BROKEN: %s ended as complete after event %d of %d", id, last, events)
		return false, true
	}
	return true, true
}

// disturb cuts the path to the engine that runs a request, and has the engine crash and start again
// behind the cut.
func disturb(record *harness.Record, store *harness.Store, servers []*server, id string) bool {
	s, index := runningAt(servers, id)
	if s == nil {
		return false
	}
	if !crashOnly {
		s.link.Cut()
		defer s.link.Heal()
	}
	cut := time.Now()
	time.Sleep(10 * time.Millisecond)
	old := s.engine.ID
	record.Printf("engine %s is killed", old)
	s.engine.Kill()
	time.Sleep(downFor)
	if err := s.start(record, store, index); err != nil {
		record.Printf("%v", err)
		return false
	}
	time.Sleep(time.Until(cut.Add(cutFor)))
	// The entry of a crashed engine is removed after three liveness report intervals of silence.
	time.AfterFunc(3600*time.Millisecond-cutFor, func() { store.Remove("servers", old) })
	return true
}

func runningAt(servers []*server, id string) (*server, int) {
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		for i, s := range servers {
			if s.engine.Said(fmt.Sprintf("event %d of %s", cutAfter, id)) {
				return s, i
			}
		}
	}
	return nil, 0
}
