package balance

import (
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
)

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{12, 65} {
		b.Run(fmt.Sprintf("engines=%d", n), func(b *testing.B) {
			s, rng := newState(b), newRand()
			p := s.Plan(newRegister(n), nil)
			r := newRequest()
			for i := range n {
				send(s, fmt.Sprintf("engine-%d", i), i%11, epoch)
			}
			b.ReportAllocs()
			for b.Loop() {
				s.Choose(p, r, epoch, rng)
			}
		})
	}
}

// BenchmarkChooseParallel runs Choose alone on several cores; compare -cpu 1 with
// -cpu 8.
func BenchmarkChooseParallel(b *testing.B) {
	s := newState(b)
	p := s.Plan(newRegister(65), nil)
	var seed atomic.Uint64
	b.RunParallel(func(pb *testing.PB) {
		rng := rand.New(rand.NewPCG(seed.Add(1), 1))
		r := newRequest()
		for pb.Next() {
			s.Choose(p, r, epoch, rng)
		}
	})
}

// BenchmarkChooseAndReport runs Choose and all events of a request on several
// cores; compare -cpu 1 with -cpu 8.
func BenchmarkChooseAndReport(b *testing.B) {
	s := newState(b)
	p := s.Plan(newRegister(65), nil)
	var seed atomic.Uint64
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		rng := rand.New(rand.NewPCG(seed.Add(1), 1))
		r := newRequest()
		r.DataCentre = fmt.Sprintf("hall-%d", rng.IntN(3))
		for pb.Next() {
			d, _ := s.Choose(p, r, epoch, rng)
			name := d.Engine.GetName()
			s.Dispatched(Dispatched{Engine: name, Work: r.Work, At: epoch})
			s.FirstToken(FirstToken{Engine: name, Work: r.Work, At: epoch})
			s.Finished(Finished{Engine: name, Work: r.Work, FirstTokenSeen: true, At: epoch})
		}
	})
}
