package router

import (
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestChatRequestThatCrashesEnginesIsKeptAway: a caller repeats a request under which
// each engine ends that begins it. It may end three engines while that is found out, and
// three more ever after. What was found for opaque requests (package quarantine) has no
// counterpart here yet: engines of the register have no instances, so that two ends of one
// engine cannot be told apart.
func TestChatRequestThatCrashesEnginesIsKeptAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const most, repeats = 3 + 3, 30
		s := newSite(t)
		var ended atomic.Int64
		for i := range engineCount {
			s.network.set(engineAddress(i), http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
				ended.Add(1)
				panic(http.ErrAbortHandler)
			}))
		}
		for range repeats {
			s.send(ask{prompt: "crash"})
			time.Sleep(time.Second)
		}
		qt.New(t).Check(ended.Load() <= most, qt.IsTrue, qt.Commentf("%d engines ended under %d requests", ended.Load(), repeats))
	})
}
