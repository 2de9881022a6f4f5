package cli

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/bronzeturn/bronzeturn/config"
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/objectstore"
	"google.golang.org/protobuf/types/known/durationpb"
)

// Prefixes of the names of configuration files.
const (
	registerFilePrefix = "register"
	rulesFilePrefix    = "rules"
)

// What an offline check covered.
const (
	checkedAll      = "complete"
	checkedRegister = "register without rules"
	checkedSyntax   = "syntax of the rules only, references need the register"
)

// files holds a decoded register and decoded rules. Either may be nil.
type files struct {
	register *bronzeturnv1.Register
	rules    *bronzeturnv1.Rules
}

// readFiles decodes the files, at most one register and one rules file.
func readFiles(paths []string) (files, error) {
	var f files
	for _, path := range paths {
		if err := f.read(path); err != nil {
			return files{}, err
		}
	}
	return f, nil
}

func (f *files) read(path string) error {
	name := filepath.Base(path)
	isRegister, isRules := strings.HasPrefix(name, registerFilePrefix), strings.HasPrefix(name, rulesFilePrefix)
	switch {
	case !isRegister && !isRules:
		return usage("%s: the file name must begin with %q or %q", path, registerFilePrefix, rulesFilePrefix)
	case isRegister && f.register != nil, isRules && f.rules != nil:
		return usage("%s: one register and one rules file at most", path)
	}
	data, err := readFile(path)
	if err != nil {
		return err
	}
	if isRegister {
		f.register, err = config.DecodeRegister(path, data)
		return err
	}
	f.rules, err = config.DecodeRules(path, data)
	return err
}

// readFile reads one byte more than config accepts at most, so that larger files are
// refused without being read completely.
func readFile(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, usage("open file: %w", err)
	}
	defer func() { _ = file.Close() }()
	data, err := io.ReadAll(io.LimitReader(file, config.MaxFileBytes+1))
	if err != nil {
		return nil, fmt.Errorf("read file: %w", err)
	}
	return data, nil
}

// check validates what can be validated without the store, and returns what that
// covered.
func (f files) check() (string, error) {
	switch {
	case f.register == nil:
		return checkedSyntax, nil
	case f.rules == nil:
		return checkedRegister, config.Validate(f.register, kindsNamedBy(f.register))
	default:
		return checkedAll, config.Validate(f.register, f.rules)
	}
}

// kindsNamedBy returns rules that declare just the task kinds that the register refers
// to, so that it can be validated without the real rules.
func kindsNamedBy(register *bronzeturnv1.Register) *bronzeturnv1.Rules {
	names := map[string]bool{config.DefaultKind: true}
	for _, version := range register.GetVersions() {
		for _, prior := range version.GetPriorQualityByKind() {
			names[prior.GetKind()] = true
		}
	}
	rules := &bronzeturnv1.Rules{}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		second := durationpb.New(time.Second)
		rules.Kinds = append(rules.Kinds, &bronzeturnv1.TaskKind{Name: name, Deadline: second, ProgressTimeout: second})
	}
	return rules
}

// checkCommand validates files offline.
type checkCommand struct {
	Files []string `arg:"" name:"file" help:"register*.yaml and rules*.yaml, one of each at most."`
}

// checkOutput is the JSON shape of the command.
type checkOutput struct {
	Valid   bool   `json:"valid"`
	Checked string `json:"checked"`
}

// Run implements the command.
func (c checkCommand) Run(a *app) error {
	f, err := readFiles(c.Files)
	if err != nil {
		return err
	}
	checked, err := f.check()
	if err != nil {
		return err
	}
	if a.out.json {
		return a.out.object(checkOutput{Valid: true, Checked: checked})
	}
	a.out.printf("valid, checked: %s", checked)
	return nil
}

// faultOutput is the JSON shape of one fault of a file.
type faultOutput struct {
	File    string `json:"file,omitempty"`
	Line    int    `json:"line,omitempty"`
	Column  int    `json:"column,omitempty"`
	Path    string `json:"path,omitempty"`
	Message string `json:"message"`
}

// String returns the fault as one line of text.
func (f faultOutput) String() string {
	where := f.File
	if f.Line > 0 {
		where = fmt.Sprintf("%s:%d:%d", f.File, f.Line, f.Column)
	}
	return strings.TrimPrefix(strings.Join([]string{where, f.Path, f.Message}, ": "), ": ")
}

// faultsOf returns the faults of a register or rules file that err reports.
func faultsOf(err error) []faultOutput {
	var decode *config.DecodeError
	if errors.As(err, &decode) {
		return []faultOutput{{File: decode.File, Line: decode.Line, Column: decode.Column, Path: decode.Path, Message: decode.Message}}
	}
	var invalid *config.ValidationError
	if !errors.As(err, &invalid) {
		return nil
	}
	faults := make([]faultOutput, len(invalid.Problems))
	for i, p := range invalid.Problems {
		faults[i] = faultOutput{Path: p.Path, Message: p.Message}
	}
	return faults
}

// conflictOutput is the JSON shape of a conflict: the generation that the change was based
// on, and the one in force.
type conflictOutput struct {
	Base    uint64    `json:"base_generation"`
	InForce uint64    `json:"generation_in_force"`
	By      string    `json:"applied_by,omitempty"`
	At      time.Time `json:"applied_at"`
	Note    string    `json:"note,omitempty"`
}

// conflictOf returns the conflict that err reports, or nil.
func conflictOf(err error) *conflictOutput {
	var conflict *config.ConflictError
	if exitCode(err) != ExitConflict || !errors.As(err, &conflict) {
		return nil
	}
	return &conflictOutput{Base: conflict.Base, InForce: conflict.Have, By: conflict.By, At: conflict.At, Note: conflict.Note}
}

// exitCodeOfConfig returns the exit code of errors of configuration files, conditional
// updates and the object API.
func exitCodeOfConfig(err error) int {
	var (
		unknown     *config.OutcomeError
		conflict    *config.ConflictError
		unavailable *objectstore.UnavailableError
		limited     *objectstore.RateLimitError
	)
	switch {
	// Checked first, as an unknown outcome may wrap a conflict.
	case errors.As(err, &unknown):
		return ExitUnavailable
	case errors.As(err, &conflict), objectstore.IsConflict(err):
		return ExitConflict
	case len(faultsOf(err)) > 0:
		return ExitInvalid
	case errors.As(err, &unavailable), errors.As(err, &limited):
		return ExitUnavailable
	default:
		return ExitFailure
	}
}
