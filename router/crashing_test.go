package router

import (
	"encoding/json"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestChatRequestThatCrashesEnginesIsQuarantined guards against a repeated request crashing every
// engine of a pool. It may crash three engines before it is quarantined and three more
// afterwards. The engines do not report their start time, so quarantine.StartTracker has to
// tell apart successive crashes of one engine.
func TestChatRequestThatCrashesEnginesIsQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const most, repeats = 3 + 3, 30
		s := newFixture(t)
		var ended atomic.Int64
		for i := range engineCount {
			s.network.set(engineAddress(i), http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
				ended.Add(1)
				panic(http.ErrAbortHandler)
			}))
		}
		for range repeats {
			s.send(callerRequest{prompt: "crash"})
			time.Sleep(time.Second)
		}
		qt.New(t).Check(ended.Load() <= most, qt.IsTrue, qt.Commentf("%d engines ended under %d requests", ended.Load(), repeats))
	})
}

func TestElementsBeforeLast(t *testing.T) {
	c := qt.New(t)
	for array, want := range map[string][]string{
		`[]`: nil, `null`: nil, `{"a":1,"b":2}`: nil, `["one"]`: nil,
		`[ {"role":"system","content":"a, b]"} , {"content":"\"c\\\"],["},{"content":["x",{"y":"z"}]}, {}]`: {
			`{"role":"system","content":"a, b]"}`, `{"content":"\"c\\\"],["}`, `{"content":["x",{"y":"z"}]}`,
		},
	} {
		c.Check(elementsBeforeLast(json.RawMessage(array)), qt.DeepEquals, want, qt.Commentf(array))
		var all []json.RawMessage
		if json.Unmarshal([]byte(array), &all) == nil && len(all) > 0 {
			c.Check(elementsBeforeLast(json.RawMessage(array)), qt.HasLen, len(all)-1)
		}
	}
}
