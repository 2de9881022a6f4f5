package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/reflect/protoreflect"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// TestEveryFieldIsDocumented checks that the operators' documentation has a table row
// for every field of the schema.
func TestEveryFieldIsDocumented(t *testing.T) {
	data, err := os.ReadFile(filepath.Join("..", "docs", "operating", "configuration.md"))
	qt.Assert(t, err, qt.IsNil)
	register := (&bronzeturnv1.Register{}).ProtoReflect().Descriptor()
	rules := (&bronzeturnv1.Rules{}).ProtoReflect().Descriptor()
	for _, md := range []protoreflect.MessageDescriptor{register, rules} {
		for i := range md.Fields().Len() {
			section := md.Fields().Get(i)
			rows := rowsOf(string(data), string(section.Name()))
			for _, name := range fieldNames(section.Message()) {
				qt.Check(t, strings.Contains(rows, name), qt.IsTrue, qt.Commentf("%s.%s", section.Name(), name))
			}
		}
	}
}

// rowsOf returns the table rows of one section.
func rowsOf(page, section string) string {
	var rows []string
	for _, line := range strings.Split(page, "\n") {
		if strings.HasPrefix(line, "| `"+section+"[]") {
			rows = append(rows, line)
		}
	}
	return strings.Join(rows, "\n")
}

// fieldNames returns the names of the fields of a message and of its nested messages.
func fieldNames(md protoreflect.MessageDescriptor) []string {
	var out []string
	for i := range md.Fields().Len() {
		fd := md.Fields().Get(i)
		out = append(out, string(fd.Name()))
		if sub := fd.Message(); sub != nil && sub.ParentFile() == md.ParentFile() {
			out = append(out, fieldNames(sub)...)
		}
	}
	return out
}
