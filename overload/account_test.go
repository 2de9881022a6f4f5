package overload

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestAccountStaysWithinItsLimit draws operations of several holders, of which some end late after
// they lost their places. It checks that the bytes in use are those that the holders have, and never
// more than the limit.
func TestAccountStaysWithinItsLimit(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		synctest.Test(t, func(*testing.T) { checkLimit(r) })
	})
}

func checkLimit(t *rapid.T) {
	const limit, holders = 1 << 20, 6
	a := NewAccount(limit)
	var all []*Holder
	for range holders {
		var h *Holder
		endsAfter := rapid.SampledFrom([]time.Duration{0, evictionTime / 2, 2 * evictionTime}).Draw(t, "endsAfter")
		h = a.Open(func() { time.AfterFunc(endsAfter, h.Close) })
		all = append(all, h)
	}
	for range rapid.IntRange(1, 40).Draw(t, "operations") {
		h := rapid.SampledFrom(all).Draw(t, "holder")
		bytes := rapid.Int64Range(1, limit/2).Draw(t, "bytes")
		switch rapid.IntRange(0, 4).Draw(t, "operation") {
		case 0:
			h.Release(bytes)
		case 1:
			h.Pin()
		case 2:
			h.Restore()
		default:
			_ = h.Reserve(bytes)
		}
		sum := int64(0)
		for _, h := range all {
			h.mu.Lock()
			sum += h.bytes + h.leaving
			h.mu.Unlock()
		}
		if sum != a.Used() || sum > limit {
			t.Fatalf("holders have %d bytes, %d are in use, limit %d", sum, a.Used(), limit)
		}
	}
	for _, h := range all {
		h.Close()
	}
	if a.Used() != 0 {
		t.Fatalf("%d bytes are in use after all holders were closed", a.Used())
	}
}

// TestLargestHolderLosesItsPlace guards against large bodies that keep small ones out.
func TestLargestHolderLosesItsPlace(t *testing.T) {
	c := qt.New(t)
	a := NewAccount(1 << 20)
	var evicted []string
	open := func(name string, bytes int64) *Holder {
		var h *Holder
		h = a.Open(func() {
			evicted = append(evicted, name)
			h.Close()
		})
		c.Assert(h.Reserve(bytes), qt.IsNil)
		return h
	}
	open("medium", 256<<10)
	open("large", 500<<10)
	pinned := a.Open(nil)
	pinned.Charge(200 << 10)
	small := a.Open(nil)
	c.Assert(small.Reserve(64<<10), qt.IsNil)
	c.Check(evicted, qt.DeepEquals, []string(nil), qt.Commentf("the part for small holders is free"))
	c.Assert(small.Reserve(8<<10), qt.IsNil)
	c.Check(evicted, qt.DeepEquals, []string{"large"})
	largest := a.Open(nil)
	var full *FullError
	c.Assert(errors.As(largest.Reserve(700<<10), &full), qt.IsTrue, qt.Commentf("nothing larger, and nothing stalled"))
	c.Check(full.Evicted, qt.IsFalse)
}

// TestStalledHolderLosesItsPlace guards against many small bodies that make no progress.
func TestStalledHolderLosesItsPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		a := NewAccount(1 << 20)
		evicted := 0
		var stalled *Holder
		stalled = a.Open(func() {
			evicted++
			time.AfterFunc(evictionTime/2, stalled.Close)
		})
		c.Assert(stalled.Reserve(700<<10), qt.IsNil)
		asker := a.Open(nil)
		c.Assert(asker.Reserve(720<<10), qt.IsNotNil)
		time.Sleep(stallTime)
		c.Assert(asker.Reserve(720<<10), qt.IsNil)
		c.Check(evicted, qt.Equals, 1)
		var full *FullError
		c.Assert(errors.As(stalled.Reserve(1), &full), qt.IsTrue)
		c.Check(full.Evicted, qt.IsTrue)
		c.Check(stalled.Pin(), qt.IsFalse)
	})
}

// TestIdleHoldersOfAPartLeaveRoomForOthers guards against idle calls that displace callers, and against
// those that keep out other calls for good.
func TestIdleHoldersOfAPartLeaveRoomForOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		a := NewAccount(1 << 20)
		part := newQuota(512 << 10)
		open := func() (h *Holder, err error) {
			h = a.open(nil, a.quota, part)
			h.SetIdle(func() { h.Close() })
			return h, h.Reserve(streamBytes)
		}
		var first error
		calls := 0
		for ; first == nil; calls++ {
			_, first = open()
		}
		var full *FullError
		c.Assert(errors.As(first, &full), qt.IsTrue)
		c.Check(full.Limit, qt.Equals, part.limit)
		c.Check(a.Used() <= part.limit, qt.IsTrue, qt.Commentf("%d bytes in use", a.Used()))
		c.Check(a.Open(nil).Reserve(200<<10), qt.Equals, error(nil), qt.Commentf("a caller finds room"))
		time.Sleep(stallTime)
		_, err := open()
		c.Check(err, qt.IsNotNil, qt.Commentf("idle calls keep their places"))
		time.Sleep(idleTime)
		_, err = open()
		c.Check(err, qt.Equals, error(nil), qt.Commentf("a call that was idle for long gave way"))
	})
}

// TestMemoryOfEvictedHoldersIsInUse guards against memory that is given to others before those that
// lost their places have ended: many of them may have to run before that.
func TestMemoryOfEvictedHoldersIsInUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		a := NewAccount(1 << 20)
		large := a.Open(func() {})
		c.Assert(large.Reserve(700<<10), qt.IsNil)
		asker := a.Open(nil)
		var full *FullError
		c.Assert(errors.As(asker.Reserve(500<<10), &full), qt.IsTrue)
		c.Check(full.Evicted, qt.IsFalse)
		c.Check(a.Used(), qt.Equals, int64(700<<10))
		time.AfterFunc(evictionTime/2, large.Close)
		c.Assert(asker.Reserve(500<<10), qt.IsNil)
		c.Check(a.Used(), qt.Equals, int64(500<<10))
		c.Check(large.Reserve(1), qt.IsNotNil, qt.Commentf("a closed holder takes nothing"))
		c.Check(a.Used(), qt.Equals, int64(500<<10))
	})
}

// TestBodiesAreWholeAndBounded compares bodies around their limit with what was sent, and the memory
// that they take with what has come.
func TestBodiesAreWholeAndBounded(t *testing.T) {
	const limit = 300 << 10
	rapid.Check(t, func(t *rapid.T) {
		a := NewAccount(8 << 20)
		h := a.Open(nil)
		around := rapid.SampledFrom([]int64{0, firstBodyBytes, 64 << 10, limit}).Draw(t, "around")
		size := max(around+rapid.Int64Range(-2, 2).Draw(t, "offset"), 0)
		length := rapid.SampledFrom([]int64{-1, size}).Draw(t, "length")
		want := bytes.Repeat([]byte("x"), int(size))
		got, err := ReadBody(iotestReader{bytes.NewReader(want)}, h, length, limit)
		switch {
		case size > limit:
			if !errors.Is(err, ErrTooLarge) || h.held() != 0 {
				t.Fatalf("%d bytes: %v, %d held", size, err, h.held())
			}
		case err != nil || !bytes.Equal(got, want):
			t.Fatalf("%d of %d bytes: %v", len(got), size, err)
		case h.held() > growth*size+firstBodyBytes:
			t.Fatalf("%d bytes held for a body of %d", h.held(), size)
		}
	})
}

// iotestReader returns at most 1,000 bytes from each read.
type iotestReader struct{ r io.Reader }

func (r iotestReader) Read(p []byte) (int, error) { return r.r.Read(p[:min(len(p), 1000)]) }

// TestAnnouncedBodyTakesNoMemory guards against buffers at the length that a client announces.
func TestAnnouncedBodyTakesNoMemory(t *testing.T) {
	c := qt.New(t)
	a := NewAccount(1 << 30)
	h := a.Open(nil)
	most := int64(0)
	_, err := ReadBody(readerFunc(func([]byte) (int, error) {
		most = max(most, h.held())
		return 0, io.ErrUnexpectedEOF
	}), h, 256<<20, 512<<20)
	c.Check(err, qt.Equals, io.ErrUnexpectedEOF)
	c.Check(most, qt.Equals, int64(firstBodyBytes))
	c.Check(a.Used(), qt.Equals, int64(0))
}

type readerFunc func(p []byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }
