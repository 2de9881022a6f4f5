package cli

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"strconv"
	"testing"

	"github.com/bronzeturn/bronzeturn/failure"
	qt "github.com/frankban/quicktest"
)

const operatingPage = "../docs/OPERATING.md"

// failureCodes reads the codes of package failure from its source.
func failureCodes(t *testing.T) []failure.Code {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), "../failure/failure.go", nil, 0)
	qt.Assert(t, err, qt.IsNil)
	var codes []failure.Code
	ast.Inspect(file, func(node ast.Node) bool {
		spec, ok := node.(*ast.ValueSpec)
		if !ok {
			return true
		}
		kind, ok := spec.Type.(*ast.Ident)
		if !ok || kind.Name != "Code" {
			return true
		}
		text, err := strconv.Unquote(spec.Values[0].(*ast.BasicLit).Value)
		qt.Assert(t, err, qt.IsNil)
		codes = append(codes, failure.Code(text))
		return true
	})
	return codes
}

func TestOperatingPageExplainsEveryRefusal(t *testing.T) {
	page, err := os.ReadFile(operatingPage)
	qt.Assert(t, err, qt.IsNil)
	codes := failureCodes(t)
	qt.Assert(t, len(codes) > 20, qt.IsTrue)
	for _, code := range codes {
		status := failure.New(code, failure.RanNo, "").HTTPStatus()
		qt.Check(t, string(page), qt.Contains, fmt.Sprintf("| `%s` | %d |", code, status))
	}
}

func TestOperatingPageListsExitCodes(t *testing.T) {
	page, err := os.ReadFile(operatingPage)
	qt.Assert(t, err, qt.IsNil)
	for _, code := range []int{ExitOK, ExitFailure, ExitUsage, ExitConflict, ExitInvalid, ExitUnavailable, ExitRefused} {
		qt.Check(t, string(page), qt.Contains, fmt.Sprintf("\n| %d | ", code))
	}
}
