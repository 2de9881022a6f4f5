package dispatch

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/scheduler"
)

const (
	// maxCallBytes and maxRequestBytes limit the size of a call: the part that does not depend
	// on the waiting requests, with 8 engines and 10 finished runs, and that of each request.
	maxCallBytes    = 400
	maxRequestBytes = 80
)

// typicalService returns the state of a daemon with requests at 8 engines.
func typicalService(waiting int) *service {
	d := New(Options{Self: "daemon-17", Incarnation: uint64(time.Now().UnixNano()), Registerer: newRegistry()})
	s := d.service("payments-quotes")
	for i := range uint32(8) {
		s.running[i*0x1e3779b1+1] = 4
	}
	for i := range uint32(10) {
		s.finished = append(s.finished, scheduler.Finished{
			Engine: i * 0x1e3779b1, Duration: 100 * time.Millisecond, Work: 100 * time.Millisecond, Outcome: scheduler.Answered,
		})
	}
	for i := range waiting {
		r := request(300 * time.Millisecond)
		r.Organisation, r.Key = fmt.Sprintf("organisation-%d", i%300), 1<<63
		number := d.number.Add(1)
		s.waiting[number] = &waiter{number: number, request: &r, arrived: time.Now(), startBy: time.Now().Add(r.MaxWait), excluded: []uint32{7}}
	}
	return s
}

// TestSizeOfCalls guards against calls that grow so that the calls of many daemons fill the
// network.
func TestSizeOfCalls(t *testing.T) {
	for _, waiting := range []int{0, 1, 8, 64} {
		size := proto.Size(typicalService(waiting).message(time.Now()))
		t.Logf("%d waiting requests: %d bytes", waiting, size)
		qt.Check(t, size <= maxCallBytes+waiting*maxRequestBytes, qt.IsTrue, qt.Commentf("%d bytes for %d requests", size, waiting))
	}
}

// BenchmarkCall measures the processor time of a call at both ends, without the network.
func BenchmarkCall(b *testing.B) {
	for _, waiting := range []int{0, 1, 8, 64, 1000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			s := typicalService(waiting)
			q := newTestQueue(0) // decides nothing
			b.ReportAllocs()
			for b.Loop() {
				data, err := proto.Marshal(s.message(time.Now()))
				if err != nil {
					b.Fatal(err)
				}
				var m bronzeturnv1.SyncRequest
				if err := proto.Unmarshal(data, &m); err != nil {
					b.Fatal(err)
				}
				q.answer(q.apply(&m, start), start)
			}
		})
	}
}

// BenchmarkAcquireUncontended measures what an uncontended service costs per request.
func BenchmarkAcquireUncontended(b *testing.B) {
	s := typicalService(0)
	r := request(time.Second)
	b.ReportAllocs()
	for b.Loop() {
		ticket, _, _ := s.d.Acquire(b.Context(), r)
		ticket.Sent("e")
		ticket.Done(scheduler.Answered)
	}
}
