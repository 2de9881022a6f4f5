package overload

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

const testMessageLimit = 100 << 10

// callBody passes a body through BoundMessages to a handler.
func callBody(a *Account, contentType string, body io.Reader, handler func(r io.Reader)) {
	r := httptest.NewRequest(http.MethodPost, "/", io.NopCloser(body))
	r.Header.Set("Content-Type", contentType)
	l := &Listener{guard: &Guard{account: a}}
	l.BoundMessages(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { handler(r.Body) }), testMessageLimit).
		ServeHTTP(httptest.NewRecorder(), r)
}

// message returns a message of a stream with its prefix.
func message(size int) []byte {
	return append(binary.BigEndian.AppendUint32([]byte{0}, uint32(size)), bytes.Repeat([]byte("m"), size)...)
}

// TestWholeMessagesAreHandedOn compares the messages of drawn streams with what the handler reads.
func TestWholeMessagesAreHandedOn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := NewAccount(8 << 20)
		var sent []byte
		for _, size := range rapid.SliceOfN(rapid.IntRange(0, testMessageLimit), 0, 4).Draw(t, "sizes") {
			sent = append(sent, message(size)...)
		}
		cut := rapid.IntRange(0, testMessageLimit).Draw(t, "cut")
		last := message(testMessageLimit)[:cut]
		body := iotestReader{bytes.NewReader(append(bytes.Clone(sent), last...))}
		callBody(a, streamType+"proto", body, func(r io.Reader) {
			got, err := io.ReadAll(r)
			if !bytes.Equal(got, sent) {
				t.Fatalf("%d bytes were handed on, %d sent in whole messages", len(got), len(sent))
			}
			if cut > 0 != (err != nil) {
				t.Fatalf("%d bytes of an unfinished message: %v", cut, err)
			}
		})
		if a.Used() != 0 {
			t.Fatalf("%d bytes are in use after the call", a.Used())
		}
	})
}

// TestBodyOfOneMessageIsHandedOn covers calls that are no streams, also those without a body.
func TestBodyOfOneMessageIsHandedOn(t *testing.T) {
	c := qt.New(t)
	for _, size := range []int{0, 1, testMessageLimit, testMessageLimit + 1} {
		a := NewAccount(1 << 20)
		callBody(a, "application/proto", iotestReader{bytes.NewReader(make([]byte, size))}, func(r io.Reader) {
			got, err := io.ReadAll(r)
			var tooLarge *http.MaxBytesError
			if c.Check(errors.As(err, &tooLarge), qt.Equals, size > testMessageLimit); err == nil {
				c.Check(got, qt.HasLen, size)
			}
		})
		c.Check(a.Used(), qt.Equals, int64(0))
	}
}

// TestLargestMessageOfAStreamIsInUse guards against streams that wait for messages with buffers that
// nobody counts: the library keeps the buffer of the largest one.
func TestLargestMessageOfAStreamIsInUse(t *testing.T) {
	c := qt.New(t)
	a := NewAccount(8 << 20)
	sent := append(message(testMessageLimit), message(1)...)
	callBody(a, streamType+"proto", bytes.NewReader(sent), func(r io.Reader) {
		_, err := io.CopyN(io.Discard, r, int64(len(sent)))
		c.Assert(err, qt.IsNil)
		c.Check(a.Used() >= messageCopies*testMessageLimit, qt.IsTrue, qt.Commentf("%d bytes in use", a.Used()))
	})
	c.Check(a.Used(), qt.Equals, int64(0))
}

// TestAnnouncedMessageTakesNoMemory guards against buffers at the length of a prefix, and against
// waiting for a message that is too large.
func TestAnnouncedMessageTakesNoMemory(t *testing.T) {
	c := qt.New(t)
	a := NewAccount(8 << 20)
	reader, writer := io.Pipe()
	defer writer.Close()
	go func() { _, _ = writer.Write(binary.BigEndian.AppendUint32([]byte{0}, testMessageLimit+1)) }()
	callBody(a, streamType+"proto", reader, func(r io.Reader) {
		var tooLarge *http.MaxBytesError
		_, err := r.Read(make([]byte, 1))
		c.Check(errors.As(err, &tooLarge), qt.IsTrue)
		c.Check(a.Used() < firstBodyBytes, qt.IsTrue, qt.Commentf("%d bytes in use", a.Used()))
	})
}
