package quarantine

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/encoding/protojson"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

func TestHandlerListsAndClearsEntries(t *testing.T) {
	runFleet(t, 2, func(f *testFleet) {
		f.crashThreeEngines(crasher)
		time.Sleep(2 * time.Second)
		call := func(method, path string) (int, string) {
			w := httptest.NewRecorder()
			f.daemons[0].Handler().ServeHTTP(w, httptest.NewRequest(method, path, nil))
			data, err := io.ReadAll(w.Result().Body)
			f.c.Assert(err, qt.IsNil)
			return w.Code, string(data)
		}
		code, text := call(http.MethodGet, Path)
		f.c.Check(code, qt.Equals, http.StatusOK)
		var list bronzeturnv1.QuarantineList
		f.c.Assert(protojson.Unmarshal([]byte(text), &list), qt.IsNil)
		f.c.Assert(list.GetEntries(), qt.HasLen, 1)
		entry := list.GetEntries()[0]
		f.c.Check(entry.GetHash(), qt.Equals, crasher.String())
		f.c.Check(entry.GetEngines(), qt.DeepEquals, []string{"e0", "e1", "e2"})
		f.c.Check(entry.GetRetriesLeft(), qt.Equals, uint32(maxRetries))
		f.c.Check(entry.GetFirstAgeMs() >= 2000, qt.IsTrue)

		code, _ = call(http.MethodDelete, Path+"/none")
		f.c.Check(code, qt.Equals, http.StatusBadRequest)
		code, _ = call(http.MethodDelete, Path+"/"+a.String())
		f.c.Check(code, qt.Equals, http.StatusNotFound)
		code, _ = call(http.MethodDelete, Path+"/"+crasher.String())
		f.c.Check(code, qt.Equals, http.StatusNoContent)
		time.Sleep(2 * time.Second)
		f.c.Check(f.held(crasher), qt.HasLen, 0)
		_, text = call(http.MethodGet, Path)
		f.c.Check(text, qt.Equals, "{}")
	})
}
