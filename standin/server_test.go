package standin

import (
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/engine"
)

// TestEngineFinishesTheWorkOfASilentConnection checks that an engine whose
// connection goes silent does not notice it, completes the answer and frees the
// slot, while the caller receives nothing more.
func TestEngineFinishesTheWorkOfASilentConnection(t *testing.T) {
	c := qt.New(t)
	e := NewEngine(EngineConfig{Versions: []string{"v"}, AnswerTokens: 400, Slots: 1, TokensPerSecond: 100})
	address, wait, err := Start(c.Context(), e)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { c.Check(wait(), qt.IsNil) })

	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	r := engine.Request{
		Address: address, RequestID: "1", Stream: true, ProgressTimeout: 500 * time.Millisecond,
		Body: []byte(`{"model":"v","stream":true,"max_tokens":60}`),
	}
	s, err := engine.New(transport).Open(c.Context(), r)
	c.Assert(err, qt.IsNil)
	_, err = s.Next()
	c.Assert(err, qt.IsNil)
	e.SetFaults(Faults{SilenceConnections: true})
	for err == nil {
		_, err = s.Next()
	}
	c.Assert(err.(*engine.Error).Kind, qt.Equals, engine.KindSilent)
	c.Assert(s.Close(), qt.IsNil)

	r.RequestID, r.ProgressTimeout = "2", 0
	s, err = engine.New(transport).Open(c.Context(), r) // Waits for the slot.
	c.Assert(err, qt.IsNil)
	c.Assert(s.Close(), qt.IsNil)
	c.Assert(e.Executions(), qt.DeepEquals, map[string]int{"1": 1, "2": 1})
}

func TestServeEndsOnAFailedListener(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Assert(l.Close(), qt.IsNil)
	c.Assert(NewPlainService(PlainServiceConfig{}).Serve(c.Context(), l), qt.ErrorIs, net.ErrClosed)
}
