// Command engine is a stand-in of an engine. It prints one line for each request that it runs or
// refuses, and for each event of a stream.
package main

import (
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"review/harness"
)

type engine struct {
	id           string
	work, gap    time.Duration
	events, size int
	untilClose   bool
	// line is the length of the data lines of events without their ends, 0 for short ones.
	line int
}

func main() {
	e := &engine{}
	listen := flag.String("listen", "127.0.0.1:0", "address")
	flag.StringVar(&e.id, "id", "", "id")
	flag.DurationVar(&e.work, "work", 15*time.Millisecond, "time until the answer or the first event")
	flag.DurationVar(&e.gap, "gap", 50*time.Millisecond, "time between two events")
	flag.IntVar(&e.events, "events", 0, "number of events of a stream, 0 for whole answers")
	flag.IntVar(&e.size, "size", 800, "bytes of a whole answer")
	flag.IntVar(&e.line, "line", 0, "bytes of the data line of each event but the last, without its end; 0 for short lines")
	flag.BoolVar(&e.untilClose, "until-close", false, "answers have no length and end with their channel")
	flag.Parse()
	l, err := net.Listen("tcp", *listen)
	if err != nil {
		fmt.Println("failed:", err)
		os.Exit(1)
	}
	fmt.Println("listens on", l.Addr())
	_ = http.Serve(l, e)
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set("Request-Id", id)
	if want := r.Header.Get(harness.Name("expectInstance")); want != "" && want != e.id {
		fmt.Printf("refuses %s, meant for %s\n", id, want)
		w.Header().Set("Instance", e.id)
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	fmt.Printf("runs %s %s %s bytes=%d tenant=%q authorization=%q last-event=%q\n", id, r.Method, r.RequestURI, len(body), r.Header.Get("Tenant"), r.Header.Get("Authorization"), r.Header.Get("Last-Event-Id"))
	if !sleep(r, e.work) {
		fmt.Printf("drops %s, its channel closed\n", id)
		return
	}
	w.Header().Set(harness.Name("stamp"), e.id+"."+id)
	if e.untilClose {
		w.Header().Set("Transfer-Encoding", "identity")
	}
	if e.events > 0 {
		e.stream(w, r, id)
		return
	}
	answer := make([]byte, e.size)
	for i := range answer {
		answer[i] = 'a' + byte(i%26)
	}
	w.Header().Set("Content-Type", "text/plain")
	_, _ = w.Write(answer)
	fmt.Printf("answered %s with %d bytes\n", id, len(answer))
}

func (e *engine) stream(w http.ResponseWriter, r *http.Request, id string) {
	w.Header().Set("Content-Type", "text/event-stream")
	if r.Header.Get("Model") != "" {
		w.Header().Set("Confidence", "95")
		w.Header().Set(harness.Name("weightVersions"), "1")
	}
	control := http.NewResponseController(w)
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := last + 1; n <= e.events; n++ {
		if _, err := io.WriteString(w, harness.EventText(id, n, e.events, e.line)); err != nil || control.Flush() != nil {
			fmt.Printf("drops %s after event %d, its channel closed\n", id, n-1)
			return
		}
		fmt.Printf("event %d of %s\n", n, id)
		if n < e.events && !sleep(r, e.gap) {
			fmt.Printf("drops %s after event %d, its channel closed\n", id, n)
			return
		}
	}
	fmt.Printf("answered %s with %d events\n", id, e.events)
}

func sleep(r *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	}
}
