// Command case-line crashes an engine in the middle of a stream whose events are padded to a data line
// of 2,048 bytes, and compares what the client got with what engines make.
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
	// downFor is the time between the crash and the new start.
	downFor = 2 * time.Second
	// crashAfter is the number of events after which the engine crashes.
	crashAfter = 20
	streams    = 3
	// lineBytes is the length of the data line of an event.
	lineBytes = 2048
)

const key = "n2ctnfzs989anu6wsjnb"

func main() { os.Exit(run()) }

// server is the address of an engine with its present boot.
type server struct {
	engine  *harness.Engine
	address string
	zone    string
	boots   int
}

func (s *server) start(record *harness.Record, store *harness.Store, index, line int) error {
	s.boots++
	id := fmt.Sprintf("i-%d%d3a91c2", index, s.boots)
	var err error
	if s.engine, err = harness.StartEngine(record, id, s.address, "-events", fmt.Sprint(events), "-gap", gap.String(), "-line", fmt.Sprint(line)); err != nil {
		return err
	}
	store.Put("servers", id, harness.Registration("huvo11a", s.address, s.zone, 64))
	return nil
}

func run() int {
	folder := flag.String("folder", "", "folder of the case")
	temp := flag.String("temp", "", "temporary folder")
	line := flag.Int("line", lineBytes, "bytes of the data line of an event")
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
		}
	}()
	for i, ip := range harness.FreeIPs(engines) {
		s := &server{zone: harness.Zones[i%3]}
		if s.address, err = harness.FreeAddress(ip); err == nil {
			err = s.start(record, store, i, *line)
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
		ok, ran := stream(record, store, fleet, servers, fmt.Sprintf("stream-%d", n+1), *line, trouble)
		if !ran {
			fmt.Println("the stream did not run as meant; see record.txt")
			return harness.ExitNotRun
		}
		held = held && ok
		time.Sleep(5 * time.Second)
	}
	if held {
		fmt.Println("held: all streams had every event once")
		return harness.ExitHeld
	}
	fmt.Println("broken: see record.txt")
	return harness.ExitBroken
}

// stream sends one request, and has its engine crash. ok is false if the answer ends as complete with
// other bytes than those of the events.
func stream(record *harness.Record, store *harness.Store, fleet *harness.Fleet, servers []*server, id string, line int, trouble bool) (ok, ran bool) {
	done := make(chan harness.Answer, 1)
	go func() {
		done <- harness.Send(record, fleet.Daemons[0].Front, "POST", "/pufi791/2f", id, 20*time.Second, harness.PromptHeaders(key), "why did bike 7 stop?")
	}()
	if trouble && !crash(record, store, servers, id, line) {
		return false, false
	}
	a := <-done
	if a.Status != 200 || a.Aborted != nil {
		record.Printf("%s is broken off", id)
		return true, true // An answer that is broken off breaks no rule of streams.
	}
	var want strings.Builder
	for n := range events {
		want.WriteString(harness.EventText(id, n+1, events, line))
	}
	record.Printf("%s: the client finds the events %v", id, eventIDs(string(a.Body)))
	if string(a.Body) != want.String() {
		record.Printf("BROKEN: %s is complete and has %d bytes instead of %d", id, len(a.Body), want.Len())
		return false, true
	}
	return true, true
}

// eventIDs returns the ids of the events of a stream, as a client's parser of server-sent events
// finds them: an event ends with a blank line. Events with two data lines are marked as joined.
func eventIDs(body string) (ids []string) {
	for _, event := range strings.Split(strings.TrimSuffix(body, "\n\n"), "\n\n") {
		id, data := "none", 0
		for _, line := range strings.Split(event, "\n") {
			if value, found := strings.CutPrefix(line, "id: "); found {
				id = value
			}
			if strings.HasPrefix(line, "data: ") {
				data++
			}
		}
		if data != 1 {
			id += "(joined)"
		}
		ids = append(ids, id)
	}
	return ids
}

// crash has the engine that runs a request crash and start again later.
func crash(record *harness.Record, store *harness.Store, servers []*server, id string, line int) bool {
	s, index := runningAt(servers, id)
	if s == nil {
		return false
	}
	time.Sleep(10 * time.Millisecond)
	old := s.engine.ID
	record.Printf("engine %s is killed", old)
	s.engine.Kill()
	time.Sleep(downFor)
	if err := s.start(record, store, index, line); err != nil {
		record.Printf("%v", err)
		return false
	}
	// The entry of a crashed engine is removed after three liveness report intervals of silence.
	time.AfterFunc(3600*time.Millisecond-downFor, func() { store.Remove("servers", old) })
	return true
}

func runningAt(servers []*server, id string) (*server, int) {
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		for i, s := range servers {
			if s.engine.Said(fmt.Sprintf("event %d of %s", crashAfter, id)) {
				return s, i
			}
		}
	}
	return nil, 0
}
