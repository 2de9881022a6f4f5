package jsonparts

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func TestPartsOfValidDocuments(t *testing.T) {
	c := qt.New(t)
	fields, err := Fields([]byte(` { "a" : [1, {"b": "],}\""}] , "b\u00e9" :null,"a2":{"x":{}} } `))
	c.Assert(err, qt.IsNil)
	c.Check(fields, qt.DeepEquals, map[string]json.RawMessage{
		"a": json.RawMessage(`[1, {"b": "],}\""}]`), "bé": json.RawMessage(`null`), "a2": json.RawMessage(`{"x":{}}`),
	})
	elements, err := Elements(fields["a"])
	c.Assert(err, qt.IsNil)
	c.Check(elements, qt.DeepEquals, []json.RawMessage{json.RawMessage(`1`), json.RawMessage(`{"b": "],}\""}`)})
	for _, none := range []string{"[]", " [ ] ", "null"} {
		elements, err := Elements([]byte(none))
		c.Check(err, qt.IsNil)
		c.Check(elements, qt.HasLen, 0)
	}
}

func TestDocumentsThatCannotBeSplit(t *testing.T) {
	c := qt.New(t)
	for document, want := range map[string]error{
		"": ErrTruncated, `{"a":1`: ErrTruncated, `{"a":"x`: ErrTruncated, `{"a":[1}`: ErrTruncated, `[1]`: ErrNotObject, `3`: ErrNotObject,
		`{"a":1,}`: ErrMalformed, `{"a"}`: ErrMalformed, `{a:1}`: ErrMalformed, `{"a":1}}`: ErrMalformed, `{,"a":1}`: ErrMalformed, `{"a":1]`: ErrMalformed,
	} {
		_, err := Fields([]byte(document))
		c.Check(err, qt.Equals, want, qt.Commentf("%s", document))
	}
	for document, want := range map[string]error{`{}`: ErrNotArray, `[1`: ErrTruncated, `[1,]`: ErrMalformed, `[1]x`: ErrMalformed} {
		_, err := Elements([]byte(document))
		c.Check(err, qt.Equals, want, qt.Commentf("%s", document))
	}
}

// TestDeepPartLeavesTheOthersReadable guards against a part that encoding/json refuses for its depth.
func TestDeepPartLeavesTheOthersReadable(t *testing.T) {
	c := qt.New(t)
	const depth = 200_000
	deep := strings.Repeat("[", depth) + strings.Repeat("]", depth)
	elements, err := Elements([]byte(`[{"a":1},` + deep + `,{"b":2}]`))
	c.Assert(err, qt.IsNil)
	c.Assert(elements, qt.HasLen, 3)
	c.Check(string(elements[1]), qt.Equals, deep)
	c.Check(string(elements[2]), qt.Equals, `{"b":2}`)
}

// TestPartsAreThoseOfEncodingJSON compares the parts with those of encoding/json for drawn documents.
func TestPartsAreThoseOfEncodingJSON(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		value := rapid.MapOf(rapid.String(), rapid.SliceOf(rapid.String())).Draw(t, "value")
		document, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		var want map[string]json.RawMessage
		if err := json.Unmarshal(document, &want); err != nil {
			t.Fatal(err)
		}
		got, err := Fields(document)
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Fatalf("%s: %v, %v", document, got, err)
		}
	})
}

func FuzzFields(f *testing.F) {
	f.Add([]byte(`{"a":[1,"x\"]"],"b":{}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		fields, err := Fields(data)
		var want map[string]json.RawMessage
		if json.Unmarshal(data, &want) == nil && (err != nil || len(fields) != len(want)) {
			t.Fatalf("%q: %v, %v", data, fields, err)
		}
	})
}
