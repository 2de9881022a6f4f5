package standin

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestWaitingWatchIsChargedOneReadPerSecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		a := NewObjectAPI(ObjectAPIConfig{ReadsPerSecond: 2, WatchWait: 3 * time.Second})
		done := make(chan int, 1)
		go func() { done <- status(a, "/v1/watch?prefix=k&after=0") }()
		time.Sleep(2500 * time.Millisecond)
		synctest.Wait()
		c.Check(a.Calls(), qt.Equals, ObjectAPICalls{Watches: 1, WatchSeconds: 2})
		c.Check(<-done, qt.Equals, http.StatusOK)
	})
}

func TestWaitingWatchesConsumeReadLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		a := NewObjectAPI(ObjectAPIConfig{ReadsPerSecond: 4, WatchWait: 10 * time.Second})
		for range 4 {
			go status(a, "/v1/watch?prefix=k&after=0")
		}
		time.Sleep(1500 * time.Millisecond)
		synctest.Wait()
		// Four watches consume the four reads of each second.
		time.Sleep(4 * time.Second)
		synctest.Wait()
		c.Check(status(a, "/v1/objects/k"), qt.Equals, http.StatusNotFound) // The reads that became available in half a second.
		c.Check(status(a, "/v1/objects/k"), qt.Equals, http.StatusNotFound)
		c.Check(status(a, "/v1/objects/k"), qt.Equals, http.StatusTooManyRequests)
		time.Sleep(10 * time.Second) // Let the watches end.
	})
}

// status makes a GET request in process and returns the status of the response.
func status(h http.Handler, target string) int {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, target, nil))
	return w.Code
}
