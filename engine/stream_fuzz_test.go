package engine_test

import (
	"bytes"
	"context"
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/engine"
)

// readEvents reads a stream and joins its events.
func readEvents(t *testing.T, transport cannedTransport) (data []byte, last bool, failed *engine.Error) {
	s, err := engine.New(transport).Open(context.Background(), request("127.0.0.1:1", true, 1))
	qt.Assert(t, err, qt.IsNil)
	defer s.Close()
	for {
		event, err := s.Next()
		if err != nil {
			qt.Assert(t, errors.As(err, &failed), qt.IsTrue)
			return data, false, failed
		}
		data = append(data, event.Data...)
		if event.Last {
			return data, true, nil
		}
	}
}

// FuzzStream checks that the events are a prefix of the bytes that the engine sent,
// independent of how reads split these, and that an answer is complete only with [DONE].
func FuzzStream(f *testing.F) {
	f.Add([]byte(token + "data: [DONE]\n\n"))
	f.Add([]byte("data: a\r\n\r\ndata: b\n\n\r\n\r\ndata: [DONE]\r\n\r\n"))
	f.Add([]byte("data: {\"usage\": {\"prompt_tokens\":-1}}\n\ndata: {\"error\":1}\n\n"))
	f.Add([]byte("\n\n\n\r\n\r\n"))
	f.Add([]byte("\r\n\r\n\n")) // Overlapping blank lines must give the same events however reads split them.
	f.Fuzz(func(t *testing.T, sent []byte) {
		data, last, failed := readEvents(t, cannedTransport{body: sent})
		qt.Assert(t, bytes.HasPrefix(sent, data), qt.IsTrue)
		if last {
			qt.Assert(t, bytes.Contains(data, []byte("data: [DONE]")), qt.IsTrue)
		}
		slow, slowLast, slowFailed := readEvents(t, cannedTransport{body: sent, slow: true})
		qt.Assert(t, slow, qt.DeepEquals, data)
		qt.Assert(t, slowLast, qt.Equals, last)
		qt.Assert(t, failed == nil, qt.Equals, slowFailed == nil)
	})
}
