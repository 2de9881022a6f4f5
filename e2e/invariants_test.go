package e2e

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// invariantsPage is the page that cites tests for each invariant.
const invariantsPage = "../docs/INVARIANTS.md"

// invariantCount is the number of invariants on the page.
const invariantCount = 10

var (
	// citedTest matches a test on the page, as `package.TestName`.
	citedTest = regexp.MustCompile("`([a-z0-9/]+)\\.((?:Test|Fuzz|Benchmark)[A-Za-z0-9]+)`")
	// citedFile matches a source file on the page.
	citedFile = regexp.MustCompile("`([a-z0-9/]+\\.go)`")
	// declaredTest matches a test in a source file.
	declaredTest = regexp.MustCompile(`(?m)^func ((?:Test|Fuzz|Benchmark)[A-Za-z0-9]+)\(`)
	// invariantHeading matches the heading of an invariant's section.
	invariantHeading = regexp.MustCompile(`(?m)^### ([0-9]+)\. `)
)

// TestInvariantsPageCitesWhatExists checks that all tests and source files that the page cites
// exist.
func TestInvariantsPageCitesWhatExists(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	page, err := os.ReadFile(invariantsPage)
	c.Assert(err, qt.IsNil)
	c.Assert(invariantHeading.FindAllSubmatch(page, -1), qt.HasLen, invariantCount)
	declared := declaredTests(c, "..")
	cited := citedTest.FindAllStringSubmatch(string(page), -1)
	c.Assert(len(cited) >= invariantCount, qt.IsTrue)
	for _, test := range cited {
		c.Check(declared[test[1]+"."+test[2]], qt.IsTrue, qt.Commentf("%s", test[0]))
	}
	for _, file := range citedFile.FindAllStringSubmatch(string(page), -1) {
		_, err := os.Stat(filepath.Join("..", file[1]))
		c.Check(err, qt.IsNil)
	}
}

// declaredTests returns the tests of the module as folder.TestName.
func declaredTests(c *qt.C, root string) map[string]bool {
	all := make(map[string]bool)
	err := filepath.WalkDir(root, func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		source, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		folder, err := filepath.Rel(root, filepath.Dir(path))
		for _, test := range declaredTest.FindAllSubmatch(source, -1) {
			all[filepath.ToSlash(folder)+"."+string(test[1])] = true
		}
		return err
	})
	c.Assert(err, qt.IsNil)
	return all
}
