package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/bronzeturn/bronzeturn/scheduler"
)

// crowded returns a Scheduler at its full size: 1,000 engines that are all in use, 300
// organisations and 10,000 waiting requests.
func crowded(b *testing.B) (*scheduler.Scheduler, []scheduler.Grant, func() scheduler.Request) {
	s, _ := scheduler.New(scheduler.Options{})
	var engines []scheduler.Engine
	for i := range 1000 {
		engines = append(engines, scheduler.Engine{Hash: uint32(i + 1), Slots: 4})
	}
	s.SetEngines(start, engines)
	number := uint64(0)
	request := func() scheduler.Request {
		number++
		return scheduler.Request{
			ID: scheduler.ID{Daemon: fmt.Sprint("daemon", number%100), Number: number}, Organisation: fmt.Sprint("organisation", number*7%300),
			Rank: int(number % 3), Weight: 1, Work: 100 * ms, Key: number, Class: scheduler.First,
			Arrived: start, StartBy: start.Add(9 * time.Minute), Deadline: start.Add(9 * time.Minute),
		}
	}
	var running []scheduler.Grant
	for s.Status(start).Waiting < 10_000 {
		for range 500 {
			s.Offer(start, request())
		}
		for g, ok := s.Next(start); ok; g, ok = s.Next(start) {
			s.Started(g.ID, g.Engine)
			running = append(running, g)
		}
	}
	return s, running, request
}

// BenchmarkDecision measures the arrival, the grant and the end of one request.
func BenchmarkDecision(b *testing.B) {
	s, running, request := crowded(b)
	requests := make([]scheduler.Request, b.N)
	for i := range requests {
		requests[i] = request()
	}
	now := start
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		now = now.Add(20 * time.Microsecond)
		f := scheduler.Finished{Engine: running[i%len(running)].Engine, Duration: 100 * ms, Work: 100 * ms, Outcome: scheduler.Answered}
		s.Ended(now, running[i%len(running)].ID.Daemon, f)
		g, ok := s.Next(now)
		if !ok {
			b.Fatal("nothing granted")
		}
		s.Started(g.ID, g.Engine)
		running[i%len(running)] = g
		s.Offer(now, requests[i])
	}
}

// BenchmarkRefusals measures the regular look for requests that can't start in time.
func BenchmarkRefusals(b *testing.B) {
	s, _, request := crowded(b)
	now := start
	b.ReportAllocs()
	for range b.N {
		now = now.Add(5 * time.Millisecond)
		s.Offer(now, request())
		s.Refusals(now)
	}
}
