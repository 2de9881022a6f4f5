package router

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/bronzeturn/bronzeturn/quarantine"
)

// TestLongConversationHasTheSameKeys compares the keys of the elements that are kept of an array with
// those of all its elements.
func TestLongConversationHasTheSameKeys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := rapid.SliceOfN(rapid.SampledFrom([]string{`{}`, `{"a":[1,2]}`, `"x,y"`, `3`}), 1, 60).Draw(t, "elements")
		kept := elementsBeforeLast(json.RawMessage("[" + strings.Join(all, " , ") + "]"))
		want := quarantine.SharedKeys("", "depot", all[:len(all)-1])
		if got := quarantine.SharedKeys("", "depot", kept); !slices.Equal(got, want) {
			t.Fatalf("%d keys, want %d", len(got), len(want))
		}
		if len(kept) > quarantine.MaxSharedParts {
			t.Fatalf("%d elements are kept", len(kept))
		}
	})
}

// TestObjectsWithTooManyFieldsAreRefused guards against objects whose fields take far more memory than
// their text.
func TestObjectsWithTooManyFieldsAreRefused(t *testing.T) {
	c := qt.New(t)
	for _, fields := range []int{1, maxFields - 1, maxFields} {
		var object strings.Builder
		for i := range fields - 1 {
			fmt.Fprintf(&object, `"%d":[{},{}],`, i)
		}
		body := "{" + object.String() + `"messages":[{"role":"user","content":"x"}]}`
		_, f := parseChat([]byte(body))
		c.Check(f == nil, qt.IsTrue, qt.Commentf("%d fields", fields))
		_, f = parseChat([]byte(`{"more":1,` + body[1:]))
		c.Check(f != nil, qt.Equals, fields == maxFields, qt.Commentf("%d fields", fields+1))
		_, f = parseChat([]byte(`{"messages":[1],"stream_options":{"more":1,` + body[1:] + "}"))
		c.Check(f != nil, qt.Equals, fields == maxFields, qt.Commentf("%d fields of stream_options", fields+1))
	}
}
