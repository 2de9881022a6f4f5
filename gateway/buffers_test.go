package gateway

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// endless is a reader without an end. It counts what was read.
type endless struct{ n int64 }

func (e *endless) Read(p []byte) (int, error) {
	e.n += int64(len(p))
	return len(p), nil
}

// TestBufferedAnswersAreWhole compares answers around the bounds of the buffers with what was read.
func TestBufferedAnswersAreWhole(t *testing.T) {
	b := newAnswerBuffers(8 << 20)
	rapid.Check(t, func(t *rapid.T) {
		around := rapid.SampledFrom([]int64{0, ownBytes, 2 * ownBytes, b.maxAnswer()}).Draw(t, "around")
		size := max(around+rapid.Int64Range(-2, 2).Draw(t, "offset"), 0)
		want := bytes.Repeat([]byte("x"), int(size))
		got, err := b.read(io.MultiReader(bytes.NewReader(want[:size/2]), bytes.NewReader(want[size/2:])))
		if size > b.maxAnswer() {
			if !errors.Is(err, errAnswerTooLong) {
				t.Fatalf("%d bytes: %v", size, err)
			}
		} else if err != nil || !bytes.Equal(got, want) {
			t.Fatalf("%d of %d bytes: %v", len(got), size, err)
		}
		if b.used.Load() != 0 {
			t.Fatalf("%d bytes are in use", b.used.Load())
		}
	})
}

// TestEndlessAnswersStayWithinTheMemory guards against engines in trouble that fill the memory of the
// daemon, and against usual answers that find none.
func TestEndlessAnswersStayWithinTheMemory(t *testing.T) {
	c := qt.New(t)
	b := newAnswerBuffers(4 << 20)
	read := int64(0)
	var nested func(depth int)
	nested = func(depth int) {
		r := &endless{}
		if depth == 0 {
			return
		}
		// All answers but this one are half read.
		_, err := b.read(readerFunc(func(p []byte) (int, error) {
			if r.n == 0 {
				nested(depth - 1)
			}
			return r.Read(p)
		}))
		c.Check(errors.Is(err, errAnswerTooLong), qt.IsTrue)
		read = max(read, r.n)
	}
	nested(50)
	c.Check(read <= b.maxAnswer()+ownBytes, qt.IsTrue, qt.Commentf("%d bytes of one answer were read", read))
	b.used.Store(b.limit)
	small := strings.Repeat("x", ownBytes-1)
	got, err := b.read(strings.NewReader(small))
	c.Check(err, qt.IsNil)
	c.Check(string(got), qt.Equals, small)
	_, err = b.read(&endless{})
	c.Check(errors.Is(err, errAnswerTooLong), qt.IsTrue)
	c.Check(b.used.Load(), qt.Equals, b.limit)
}

type readerFunc func(p []byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// TestEndlessAnswerLeavesTimeForAnotherAttempt guards against an answer without end over a slow link,
// which takes all of the caller's time before it exceeds the bound on its size.
func TestEndlessAnswerLeavesTimeForAnotherAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		slow := readerFunc(func(p []byte) (int, error) {
			time.Sleep(10 * time.Millisecond)
			return min(len(p), 12<<10), nil // 10 Mbit/s
		})
		began := time.Now()
		_, err := newAnswerBuffers(0).read(&boundReader{r: slow, until: began.Add(400 * time.Millisecond)})
		c.Check(errors.Is(err, errAnswerTooLong), qt.IsTrue)
		c.Check(time.Since(began) <= 420*time.Millisecond, qt.IsTrue)
		small := io.LimitReader(slow, ownBytes)
		_, err = newAnswerBuffers(0).read(&boundReader{r: small, until: time.Now()})
		c.Check(err, qt.IsNil, qt.Commentf("a usual answer is read however long it takes"))
	})
}
