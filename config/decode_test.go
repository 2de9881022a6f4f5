package config

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
)

func TestDecodeRefusesWithPosition(t *testing.T) {
	for _, tt := range []struct {
		name, text   string
		line, column int
		path         string
	}{
		{"unknown field", "kinds:\n  - name: quick\n    colour: red\n", 3, 5, "kinds[0].colour"},
		{"unknown section", "kinds: []\nsorts: []\n", 2, 1, "sorts"},
		{"string for a number", "kinds:\n  - name: a\n  - quality_target: high\n", 3, 21, "kinds[1].quality_target"},
		{"bad duration", "kinds:\n  - deadline: soon\n", 2, 15, "kinds[0].deadline"},
		{"bad enum", "kinds:\n  - priority: first\n", 2, 15, "kinds[0].priority"},
		{"number for a name", "kinds:\n  - name: 7\n", 2, 11, "kinds[0].name"},
		{"scalar for a list", "kinds: quick\n", 1, 8, "kinds"},
		{"scalar for a mapping", "kinds: [quick]\n", 1, 9, "kinds[0]"},
		{"entry missing", "kinds:\n  -\n", 2, 5, "kinds[0]"},
		{"list at the top", "- a\n", 1, 1, ""},
		{"duplicate field", "kinds: []\nkinds: []\n", 2, 1, ""},
		{"not a number", "kinds:\n  - quality_target: .nan\n", 2, 21, "kinds[0].quality_target"},
		{"anchor", "kinds: &a []\n", 1, 8, ""},
		{"broken syntax", "kinds:\n  - name: \"a\n", 2, 11, ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			_, err := DecodeRules("rules.yaml", []byte(tt.text))
			var refused *DecodeError
			c.Assert(errors.As(err, &refused), qt.IsTrue, qt.Commentf("%v", err))
			c.Assert(refused.File, qt.Equals, "rules.yaml")
			c.Assert(refused.Path, qt.Equals, tt.path, qt.Commentf("%v", err))
			c.Assert([]int{refused.Line, refused.Column}, qt.DeepEquals, []int{tt.line, tt.column}, qt.Commentf("%v", err))
		})
	}
}

func TestDecodeRefusesHostileFiles(t *testing.T) {
	for name, text := range map[string]string{
		"too long":       strings.Repeat("#", MaxFileBytes+1),
		"deep brackets":  "kinds: " + strings.Repeat("[", 1<<16),
		"deep blocks":    deepBlocks(2000),
		"two documents":  "kinds: []\n---\nkinds: []\n",
		"expanding bomb": "a: &a [x, x]\nb: &b [*a, *a]\nkinds: [*b, *b]\n",
	} {
		t.Run(name, func(t *testing.T) {
			_, err := DecodeRules("rules.yaml", []byte(text))
			var refused *DecodeError
			qt.Assert(t, errors.As(err, &refused), qt.IsTrue, qt.Commentf("%v", err))
		})
	}
}

func deepBlocks(depth int) string {
	var b strings.Builder
	for i := range depth {
		b.WriteString(strings.Repeat(" ", i) + "a:\n")
	}
	return b.String()
}

func TestDecodeEmptyFile(t *testing.T) {
	for _, text := range []string{"", "# nothing\n", "null\n"} {
		rules, err := DecodeRules("rules.yaml", []byte(text))
		qt.Assert(t, err, qt.IsNil, qt.Commentf("%q", text))
		qt.Assert(t, rules.GetKinds(), qt.HasLen, 0)
	}
}

func TestDecodeReadsDurations(t *testing.T) {
	rules, err := DecodeRules("rules.yaml", []byte("kinds:\n  - deadline: 1.5s\n"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, rules.GetKinds()[0].GetDeadline().AsDuration(), qt.Equals, 1500*time.Millisecond)
}

func seedExamples(f *testing.F, file string) {
	for _, example := range []string{"campina-verde", "andina"} {
		data, err := os.ReadFile(filepath.Join("..", "examples", example, file))
		qt.Assert(f, err, qt.IsNil)
		f.Add(data)
	}
	for _, text := range []string{"", "- a", "kinds: 1", "{", "engines: [null]", "? x", "a: !!binary x", "kinds: [{deadline: 9e9s}]"} {
		f.Add([]byte(text))
	}
}

func FuzzDecodeRegister(f *testing.F) {
	seedExamples(f, "register.yaml")
	f.Fuzz(func(t *testing.T, data []byte) {
		reg, err := DecodeRegister("f", data)
		checkDecoded(t, reg, err)
	})
}

func FuzzDecodeRules(f *testing.F) {
	seedExamples(f, "rules.yaml")
	f.Fuzz(func(t *testing.T, data []byte) {
		rules, err := DecodeRules("f", data)
		checkDecoded(t, rules, err)
	})
}

// checkDecoded asserts that a decoder fails with a *DecodeError or returns a message
// that can be marshalled.
func checkDecoded(t *testing.T, m proto.Message, err error) {
	if err != nil {
		var refused *DecodeError
		qt.Assert(t, errors.As(err, &refused), qt.IsTrue)
		return
	}
	_, err = proto.Marshal(m)
	qt.Assert(t, err, qt.IsNil)
}
