package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// engineFacts describe an engine.
type engineFacts struct {
	ID, Service, Version, Zone, Address, Store string
	Slots                                      int
	Born                                       int64
	// Framed is set if answers have chunks, else they end with their channels.
	Framed bool
}

// engineSpec is an engine.
type engineSpec struct {
	engineFacts
	// slots holds a token for each request that runs.
	slots   chan struct{}
	waiting atomic.Int64
	// large is the number of large urgent requests that run. They take the memory of the others.
	large atomic.Int64
}

// Shape of the answers.
const (
	streamEvents = 20
	eventGap     = 50 * time.Millisecond
	answerBytes  = 800
	answerPause  = 150 * time.Millisecond
	queueLength  = 134
)

// eventText is one event of the stream that answers a request.
func eventText(id string, n int) string {
	return fmt.Sprintf("id: %d\ndata: %s piece %d\n\n", n, id, n)
}

// answerText is the answer of a plain service.
func answerText(id string) string {
	return strings.Repeat("answer to "+id+"; ", answerBytes)[:answerBytes]
}

// runEngine is the main function of an engine's process. Its listener is the file descriptor 3.
func runEngine() error {
	spec := &engineSpec{}
	if err := json.Unmarshal([]byte(os.Getenv("ENGINE")), &spec.engineFacts); err != nil {
		return err
	}
	l, err := net.FileListener(os.NewFile(3, "listener"))
	if err != nil {
		return err
	}
	go func() {
		_, _ = io.Copy(io.Discard, os.Stdin) // It ends with the process that supervises the engine.
		os.Exit(exitNotRun)
	}()
	spec.slots = make(chan struct{}, spec.Slots)
	go spec.heartbeat()
	return http.Serve(l, http.HandlerFunc(spec.serve))
}

// heartbeat registers the engine in the store, and reports that it is alive.
func (e *engineSpec) heartbeat() {
	for sequence := 1; ; sequence++ {
		e.register(sequence)
		time.Sleep(1200 * time.Millisecond)
	}
}

func (e *engineSpec) register(sequence int) {
	spec := map[string]any{
		"service": e.Service, "address": e.Address, "zone": e.Zone, "version": e.Version, "slots": e.Slots, "state": "ready",
		wire.ColdLeft: 0, "sequence": sequence, "born": e.Born,
	}
	body, _ := json.Marshal(map[string]any{"metadata": map[string]any{"name": e.ID}, "spec": spec})
	for _, call := range []struct{ method, path string }{{http.MethodPost, "/objects/servers"}, {http.MethodPut, "/objects/servers/" + e.ID}} {
		req, _ := http.NewRequest(call.method, "http://"+e.Store+call.path, bytes.NewReader(body))
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return
		}
		_ = resp.Body.Close()
		if resp.StatusCode < http.StatusMultipleChoices {
			return
		}
	}
}

// serve answers a request. Answers have no length and end with the connection.
func (e *engineSpec) serve(w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get(wire.Expect); want != "" && want != e.ID {
		w.Header().Set("Instance", e.ID)
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if e.waiting.Add(1) > queueLength {
		e.waiting.Add(-1)
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select { // Health probes wait for a slot like any other request.
	case e.slots <- struct{}{}:
		e.waiting.Add(-1)
	case <-r.Context().Done():
		e.waiting.Add(-1)
		return
	}
	defer func() { <-e.slots }()
	if r.URL.Path == "/healthz" {
		w.Header().Set("Instance", e.ID)
		return
	}
	id := r.Header.Get("Request-Id")
	if e.Framed {
		e.serveFramed(w, r, id)
		return
	}
	conn, buffered, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_ = buffered
	say("run", id)
	kind := "application/json"
	if r.Header.Get(wire.Tokens) != "" {
		kind = "text/event-stream"
	}
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n%s: %s.%d.%s\r\nContent-Type: %s\r\nConnection: close\r\n\r\n", id, wire.Stamp, e.ID, e.Born, id, kind)
	if _, err := conn.Write([]byte(head)); err != nil {
		return
	}
	if kind == "text/event-stream" {
		from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		for n := from + 1; n <= streamEvents; n++ {
			if _, err := conn.Write([]byte(eventText(id, n))); err != nil {
				return
			}
			if n == streamEvents/2 {
				say("half", id)
			}
			time.Sleep(eventGap)
		}
	} else {
		text := answerText(id)
		_, _ = conn.Write([]byte(text[:answerBytes/2]))
		say("half", id)
		time.Sleep(answerPause)
		if _, err := conn.Write([]byte(text[answerBytes/2:])); err != nil {
			return
		}
	}
	say("end", id)
}

// largePrompt is the size of a prompt in tokens from which on a request takes an engine's whole memory.
const (
	largePrompt = 10000
	largeEvents = 90
)

// serveFramed gives a stream in chunks. While a large request of a more urgent route runs, the others are
// preempted: they go on when it has ended.
func (e *engineSpec) serveFramed(w http.ResponseWriter, r *http.Request, id string) {
	_, _ = io.Copy(io.Discard, r.Body)
	prompt, _, _ := strings.Cut(r.Header.Get(wire.Tokens), ",")
	tokens, _ := strconv.Atoi(prompt)
	urgent := r.Header.Get(wire.Urgency) == "0"
	events := streamEvents
	if tokens >= largePrompt && urgent {
		events = largeEvents
		e.large.Add(1)
		defer e.large.Add(-1)
	}
	say("run", id)
	w.Header().Set("Request-Id", id)
	w.Header().Set(wire.Stamp, e.ID+"."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := from + 1; n <= events; n++ {
		for preempted := false; !urgent && e.large.Load() > 0; preempted = true {
			if !preempted {
				say("preempts", id)
			}
			select {
			case <-r.Context().Done():
				say("left", id)
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
		if _, err := w.Write([]byte(eventText(id, n))); err != nil || http.NewResponseController(w).Flush() != nil {
			say("left", id)
			return
		}
		select {
		case <-r.Context().Done():
			say("left", id)
			return
		case <-time.After(eventGap):
		}
	}
	say("end", id)
}

var saying sync.Mutex

// say reports an event to the process that supervises the engine.
func say(what, id string) {
	saying.Lock()
	defer saying.Unlock()
	fmt.Println(what, id)
}

// supervisor runs an engine. It keeps the listening socket and starts the engine again at once, under the
// same id, when its process ends.
type supervisor struct {
	spec     engineFacts
	listener *os.File
	journal  *journal
	// said is called for each event that the engine reports.
	said func(s *supervisor, what, id string)

	mu      sync.Mutex
	cmd     *exec.Cmd
	stopped bool
	ended   chan struct{}
}

func startSupervisor(spec engineFacts, j *journal, said func(*supervisor, string, string)) (*supervisor, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	spec.Address = l.Addr().String()
	file, err := l.(*net.TCPListener).File()
	if err != nil {
		return nil, err
	}
	_ = l.Close() // The file keeps the socket open.
	s := &supervisor{spec: spec, listener: file, journal: j, said: said, ended: make(chan struct{})}
	go s.run()
	return s, nil
}

func (s *supervisor) run() {
	defer close(s.ended)
	for {
		s.mu.Lock()
		if s.stopped {
			s.mu.Unlock()
			return
		}
		spec := s.spec
		spec.Born = time.Now().UnixMilli()
		data, _ := json.Marshal(spec)
		cmd := exec.Command(os.Args[0], "engine")
		cmd.Env, cmd.ExtraFiles, cmd.Stderr = append(os.Environ(), "ENGINE="+string(data)), []*os.File{s.listener}, os.Stderr
		out, err := cmd.StdoutPipe()
		if err == nil {
			_, err = cmd.StdinPipe()
		}
		if err == nil {
			err = cmd.Start()
		}
		if err != nil {
			s.journal.line("engine %s not started: %v", spec.ID, err)
			s.mu.Unlock()
			return
		}
		s.cmd = cmd
		s.mu.Unlock()
		s.journal.line("engine %s starts, born %d", spec.ID, spec.Born)
		for lines := bufio.NewScanner(out); lines.Scan(); {
			if what, id, ok := strings.Cut(lines.Text(), " "); ok {
				s.said(s, what, id)
			}
		}
		_ = cmd.Wait()
	}
}

// kill kills the engine's process, which is then started again.
func (s *supervisor) kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cmd != nil {
		_ = s.cmd.Process.Kill()
	}
}

// stop ends the engine.
func (s *supervisor) stop() {
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	s.kill()
	<-s.ended
	_ = s.listener.Close()
}
