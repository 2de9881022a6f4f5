package config

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// Bounds of a configuration. They keep the memory of a daemon bounded and leave room
// above the size that the router is designed for.
const (
	maxNameBytes     = 64
	maxReasonBytes   = 512
	maxDataCentres   = 64
	maxModels        = 256
	maxVersions      = 1024
	maxOrganisations = 4096
	maxKeysPerOrg    = 16
	maxPools         = 512
	maxEngines       = 20000
	maxServices      = 512
	maxInstances     = 1024
	maxKinds         = 128
	maxSlots         = 4096
	maxListEntries   = 1024
	// maxPriceMicros keeps the price times the tokens of a request within an int64.
	maxPriceMicros      = 1_000_000_000_000
	maxTokens           = 100_000_000
	maxTokensPerSecond  = 1e6
	maxDeadline         = 2 * time.Hour
	minDuration         = time.Millisecond
	maxProblemsReported = 1000
	// maxLinearSearch is the list length up to which duplicates are found without a
	// map.
	maxLinearSearch = 16
)

// Validate checks the register and the rules, including references between them, and
// reports all faults in one *ValidationError. It modifies neither.
func Validate(reg *bronzeturnv1.Register, rules *bronzeturnv1.Rules) error {
	v := &validator{register: reg, rules: rules}
	v.dataCentres()
	v.models()
	v.versions()
	v.services()
	v.pools()
	v.engines()
	v.organisations()
	v.kinds()
	v.withdrawals()
	v.limits()
	v.rollouts()
	if len(v.problems) == 0 {
		return nil
	}
	return &ValidationError{Problems: v.problems}
}

// validator collects problems. The sets hold the names declared so far.
type validator struct {
	register *bronzeturnv1.Register
	rules    *bronzeturnv1.Rules
	problems []Problem

	dataCentreNames   names
	modelNames        names
	versionModels     map[string]string
	serviceNames      names
	poolNames         names
	organisationNames names
	kindNames         names
}

// names is a set of names.
type names map[string]struct{}

func (n names) has(name string) bool {
	_, ok := n[name]
	return ok
}

// add records a problem at the path, unless maxProblemsReported are recorded already.
func (v *validator) add(path fieldPath, format string, args ...any) {
	if len(v.problems) < maxProblemsReported {
		v.problems = append(v.problems, Problem{Path: path.String(), Message: fmt.Sprintf(format, args...)})
	}
}

// declare checks a name and adds it to the set. A duplicate is a problem.
func (v *validator) declare(set *names, path fieldPath, name string) {
	if *set == nil {
		*set = make(names)
	}
	if !validName(name) {
		v.add(path, "name %q must be 1 to %d letters, digits or any of @._- and begin with a letter or digit", clip(name), maxNameBytes)
		return
	}
	if set.has(name) {
		v.add(path, "duplicate name %q", name)
	}
	(*set)[name] = struct{}{}
}

// reference checks that a name is in the set of declared names.
func (v *validator) reference(set names, path fieldPath, what, name string) {
	if !set.has(name) {
		v.add(path, "unknown %s %q", what, clip(name))
	}
}

// distinct checks the length of a list and that it has no duplicates.
func (v *validator) distinct(path fieldPath, values []string) {
	v.count(path, len(values), maxListEntries)
	var seen names
	if len(values) > maxLinearSearch {
		seen = make(names, len(values))
	}
	for i, value := range values {
		if seen.has(value) || seen == nil && slices.Contains(values[:i], value) {
			v.add(path.nth(i), "duplicate entry %q", clip(value))
		}
		if seen != nil {
			seen[value] = struct{}{}
		}
	}
}

func (v *validator) count(path fieldPath, n, limit int) {
	if n > limit {
		v.add(path, "%d entries are above the limit of %d", n, limit)
	}
}

// ratio checks that a number lies between 0 and 1.
func (v *validator) ratio(path fieldPath, x float64) {
	if math.IsNaN(x) || x < 0 || x > 1 {
		v.add(path, "%v is not between 0 and 1", x)
	}
}

// integer checks the bounds of an integer.
func (v *validator) integer(path fieldPath, x, low, high int64) {
	if x < low || x > high {
		v.add(path, "%d is not between %d and %d", x, low, high)
	}
}

// number checks that a number is finite and not negative.
func (v *validator) number(path fieldPath, x float64) {
	if math.IsNaN(x) || math.IsInf(x, 0) || x < 0 {
		v.add(path, "%v must be finite and not negative", x)
	}
}

// duration checks the bounds of a duration and returns it.
func (v *validator) duration(path fieldPath, d *durationpb.Duration, high time.Duration) time.Duration {
	if d == nil {
		v.add(path, "duration is missing")
		return 0
	}
	value := d.AsDuration()
	if d.CheckValid() != nil || value < minDuration || value > high {
		v.add(path, "duration %v is not between %v and %v", value, minDuration, high)
	}
	return value
}

// address checks an IP address and port that can be connected to.
func (v *validator) address(path fieldPath, address string) {
	ap, err := netip.ParseAddrPort(address)
	if err != nil {
		v.add(path, "address %q is not an IP address and port", clip(address))
		return
	}
	if ap.Port() == 0 {
		v.add(path, "address %q has port 0", address)
	}
	if ap.Addr().IsUnspecified() || ap.Addr().IsMulticast() {
		v.add(path, "address %q cannot be connected to", address)
	}
}

// text checks the length of a free text and that it has no control characters.
func (v *validator) text(path fieldPath, text string, limit int) {
	if len(text) > limit {
		v.add(path, "text of %d bytes is above the limit of %d", len(text), limit)
	}
	for _, r := range text {
		if r < ' ' || r == 0x7f {
			v.add(path, "text contains a control character")
			return
		}
	}
}

// validName reports whether name is valid, which makes it safe in logs, paths and
// metric labels.
func validName(name string) bool {
	if name == "" || len(name) > maxNameBytes || !alphanumeric(name[0]) {
		return false
	}
	for i := 1; i < len(name); i++ {
		switch c := name[i]; {
		case alphanumeric(c), c == '@', c == '.', c == '_', c == '-':
		default:
			return false
		}
	}
	return true
}

func alphanumeric(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
}

// clip truncates a name for a message.
func clip(s string) string {
	if len(s) > maxNameBytes {
		return s[:maxNameBytes] + "..."
	}
	return s
}
