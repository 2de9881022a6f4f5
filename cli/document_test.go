package cli

import (
	"bytes"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
	"github.com/bronzeturn/bronzeturn/failure"
	"github.com/bronzeturn/bronzeturn/settings"
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

// flagsOf returns the flags of a command and of its subcommands.
func flagsOf(node *kong.Node) map[string]bool {
	names := make(map[string]bool)
	for _, flag := range node.Flags {
		names["--"+flag.Name] = true
	}
	for _, child := range node.Children {
		for name := range flagsOf(child) {
			names[name] = true
		}
	}
	return names
}

func TestPagesNameFlagsThatExist(t *testing.T) {
	model, err := kong.New(&grammar{})
	qt.Assert(t, err, qt.IsNil)
	known := flagsOf(model.Model.Node)
	var table bytes.Buffer
	qt.Assert(t, settings.WriteDocument(&table), qt.IsNil)
	flags := regexp.MustCompile(`--[a-z][a-z-]+[a-z]`)
	for _, name := range flags.FindAllString(table.String(), -1) {
		known[name] = true
	}
	for _, path := range []string{operatingPage, "../docs/operating/security.md", "../docs/GLOSSARY.md"} {
		page, err := os.ReadFile(path)
		qt.Assert(t, err, qt.IsNil)
		for _, name := range flags.FindAllString(string(page), -1) {
			qt.Check(t, known[name], qt.IsTrue, qt.Commentf("%s in %s", name, path))
		}
	}
}

// readmeLines returns the lines of the README's shell blocks.
func readmeLines(t *testing.T) []string {
	t.Helper()
	page, err := os.ReadFile("../README.md")
	qt.Assert(t, err, qt.IsNil)
	var lines []string
	for _, block := range regexp.MustCompile("(?s)```sh\n(.*?)```").FindAllStringSubmatch(string(page), -1) {
		lines = append(lines, strings.Split(block[1], "\n")...)
	}
	return lines
}

// TestReadmeNamesFlagsOfTheCommandLineThatExist leaves out the lines that start stand-ins, which
// the test of cmd/bronzeturn-standin checks.
func TestReadmeNamesFlagsOfTheCommandLineThatExist(t *testing.T) {
	model, err := kong.New(&grammar{})
	qt.Assert(t, err, qt.IsNil)
	known := flagsOf(model.Model.Node)
	found := 0
	for _, line := range readmeLines(t) {
		if !strings.Contains(line, "out/bronzeturn ") && !strings.Contains(line, "./cmd/bronzeturn ") {
			continue
		}
		found++
		for _, name := range regexp.MustCompile(`--[a-z][a-z-]+[a-z]`).FindAllString(line, -1) {
			qt.Check(t, known[name], qt.IsTrue, qt.Commentf("%s in %s", name, line))
		}
	}
	qt.Check(t, found > 5, qt.IsTrue)
}

func TestReadmeStartsDaemonsWithValidSettings(t *testing.T) {
	var environment []string
	daemons := 0
	for _, line := range readmeLines(t) {
		if variables, ok := strings.CutPrefix(line, "export "); ok {
			environment = append(environment, strings.Fields(variables)...)
		}
		arguments, ok := strings.CutPrefix(line, "out/bronzeturnd ")
		if !ok {
			continue
		}
		daemons++
		arguments, _, _ = strings.Cut(arguments, " 2>")
		_, err := settings.Parse(strings.Fields(arguments), environment)
		qt.Check(t, err, qt.IsNil, qt.Commentf("%s", line))
	}
	qt.Check(t, daemons, qt.Equals, 3)
}

func TestReadmeAndArchitectureNameEveryPackage(t *testing.T) {
	entries, err := os.ReadDir("..")
	qt.Assert(t, err, qt.IsNil)
	var packages []string
	for _, entry := range entries {
		sources, err := filepath.Glob(filepath.Join("..", entry.Name(), "*.go"))
		qt.Assert(t, err, qt.IsNil)
		if entry.IsDir() && len(sources) > 0 {
			packages = append(packages, entry.Name())
		}
	}
	qt.Assert(t, len(packages) > 30, qt.IsTrue)
	for _, path := range []string{"../README.md", "../docs/ARCHITECTURE.md"} {
		page, err := os.ReadFile(path)
		qt.Assert(t, err, qt.IsNil)
		for _, name := range packages {
			named := strings.Contains(string(page), "`"+name+"`") || strings.Contains(string(page), "`"+name+"/")
			qt.Check(t, named, qt.IsTrue, qt.Commentf("%s in %s", name, path))
		}
	}
}

var pageLink = regexp.MustCompile(`\]\(([^)#:]+)\)`)

func TestReadmeAndArchitectureLinksResolve(t *testing.T) {
	for _, path := range []string{"../README.md", "../docs/ARCHITECTURE.md"} {
		page, err := os.ReadFile(path)
		qt.Assert(t, err, qt.IsNil)
		links := pageLink.FindAllStringSubmatch(string(page), -1)
		qt.Check(t, len(links) > 0, qt.IsTrue)
		for _, link := range links {
			_, err := os.Stat(filepath.Join(filepath.Dir(path), link[1]))
			qt.Check(t, err, qt.IsNil, qt.Commentf("%s in %s", link[1], path))
		}
	}
}

// literals returns the string literals of the repository's Go files, except for tests
// and generated files.
func literals(t *testing.T) map[string]bool {
	t.Helper()
	found := make(map[string]bool)
	err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && (entry.Name() == "gen" || entry.Name() == "bin" || entry.Name() == ".git") {
			return filepath.SkipDir
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(node ast.Node) bool {
			if literal, ok := node.(*ast.BasicLit); ok && literal.Kind == token.STRING {
				if text, err := strconv.Unquote(literal.Value); err == nil {
					found[text] = true
				}
			}
			return true
		})
		return nil
	})
	qt.Assert(t, err, qt.IsNil)
	return found
}

func TestOperatingPageNamesMetricsThatExist(t *testing.T) {
	page, err := os.ReadFile(operatingPage)
	qt.Assert(t, err, qt.IsNil)
	known := literals(t)
	names := regexp.MustCompile(`bronzeturn_[a-z_]+[a-z]`).FindAllString(string(page), -1)
	qt.Assert(t, len(names) > 10, qt.IsTrue)
	for _, name := range names {
		exists := known[name]
		for i := range name {
			exists = exists || known[name[:i]] && known[name[i:]]
		}
		qt.Check(t, exists, qt.IsTrue, qt.Commentf("%s", name))
	}
}
