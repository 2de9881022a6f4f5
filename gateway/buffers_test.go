package gateway

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/bronzeturn/bronzeturn/overload"
)

// endless is a reader without an end. It counts what was read.
type endless struct{ n int64 }

func (e *endless) Read(p []byte) (int, error) {
	e.n += int64(len(p))
	return len(p), nil
}

// TestBufferedAnswersAreWhole compares answers around the bounds of the buffers with what was read.
func TestBufferedAnswersAreWhole(t *testing.T) {
	account := overload.NewAccount(64 << 20)
	limit := maxAnswer(account)
	rapid.Check(t, func(t *rapid.T) {
		around := rapid.SampledFrom([]int64{0, ownBytes, 2 * ownBytes, limit}).Draw(t, "around")
		size := max(around+rapid.Int64Range(-2, 2).Draw(t, "offset"), 0)
		want := bytes.Repeat([]byte("x"), int(size))
		q := newAnsweredRequest(account)
		got, err := q.readAnswer(io.MultiReader(bytes.NewReader(want[:size/2]), bytes.NewReader(want[size/2:])), -1, limit)
		if size > limit {
			if !errors.Is(err, errAnswerTooLong) {
				t.Fatalf("%d bytes: %v", size, err)
			}
		} else if err != nil || !bytes.Equal(got, want) {
			t.Fatalf("%d of %d bytes: %v", len(got), size, err)
		}
		if used := account.Used(); used < int64(len(got)) {
			t.Fatalf("%d bytes are in use for an answer of %d", used, len(got))
		}
		q.memory.Close()
		if account.Used() != 0 {
			t.Fatalf("%d bytes are in use", account.Used())
		}
	})
}

// TestEndlessAnswersStayWithinTheMemory guards against engines in trouble that fill the memory of the
// daemon, and against usual answers that find none.
func TestEndlessAnswersStayWithinTheMemory(t *testing.T) {
	c := qt.New(t)
	account := overload.NewAccount(16 << 20)
	limit := maxAnswer(account)
	read := int64(0)
	var nested func(depth int)
	nested = func(depth int) {
		r := &endless{}
		if depth == 0 {
			return
		}
		// All answers but this one are half read.
		q := newAnsweredRequest(account)
		defer q.memory.Close()
		_, err := q.readAnswer(readerFunc(func(p []byte) (int, error) {
			if r.n == 0 {
				nested(depth - 1)
			}
			return r.Read(p)
		}), -1, limit)
		c.Check(errors.Is(err, errAnswerTooLong), qt.IsTrue)
		read = max(read, r.n)
	}
	nested(50)
	c.Check(read <= limit+ownBytes, qt.IsTrue, qt.Commentf("%d bytes of one answer were read", read))
	c.Check(account.Used(), qt.Equals, int64(0))
	taken := newAnsweredRequest(account)
	taken.memory.Charge(account.Limit())
	small := strings.Repeat("x", ownBytes-1)
	got, err := newAnsweredRequest(account).readAnswer(strings.NewReader(small), -1, limit)
	c.Check(err, qt.IsNil)
	c.Check(string(got), qt.Equals, small)
	q := newAnsweredRequest(account)
	_, err = q.readAnswer(&endless{}, -1, limit)
	c.Check(errors.Is(err, errAnswerTooLong), qt.IsTrue)
	q.memory.Close()
	taken.memory.Close()
	c.Check(account.Used(), qt.Equals, int64(ownBytes), qt.Commentf("only the buffer of the answer that was read is held"))
}

// newAnsweredRequest returns a request whose answers are read into the account.
func newAnsweredRequest(account *overload.Account) *request {
	r := httptest.NewRequest(http.MethodGet, "/", nil)
	return &request{http: r, memory: account.OpenRequest(httptest.NewRecorder(), r)}
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
		account := overload.NewAccount(0)
		_, err := newAnsweredRequest(account).readAnswer(&boundReader{r: slow, until: began.Add(400 * time.Millisecond)}, -1, maxAnswer(account))
		c.Check(errors.Is(err, errAnswerTooLong), qt.IsTrue)
		c.Check(time.Since(began) <= 420*time.Millisecond, qt.IsTrue)
		small := io.LimitReader(slow, ownBytes)
		_, err = newAnsweredRequest(account).readAnswer(&boundReader{r: small, until: time.Now()}, -1, maxAnswer(account))
		c.Check(err, qt.IsNil, qt.Commentf("a usual answer is read however long it takes"))
	})
}
