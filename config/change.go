package config

import (
	"bytes"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// Change is what an operator wants to put in force. What is nil stays as it is.
type Change struct {
	// Register replaces the whole register.
	Register *bronzeturnv1.Register
	// Rules replace the whole rules.
	Rules *bronzeturnv1.Rules
	// Withdraw adds or replaces the withdrawal of one version.
	Withdraw *bronzeturnv1.Withdrawal
	// Base is the generation that the operator looked at. If it is set and
	// another one is in force, the change is refused with a ConflictError. Zero
	// means that there was no configuration.
	Base *uint64
	// AppliedBy names the operator, Note is free text. Both are kept in the head.
	AppliedBy string
	Note      string
}

// edit says whether the change only edits what is in force, whatever it is, so
// that it may be tried again on a newer generation.
func (c Change) edit() bool {
	return c.Register == nil && c.Rules == nil && c.Base == nil
}

// check bounds the texts that go into the head.
func (c Change) check() error {
	v := &validator{}
	v.text(whole("change").at("applied_by"), c.AppliedBy, maxOperatorBytes)
	v.text(whole("change").at("note"), c.Note, maxReasonBytes)
	if c.Register == nil && c.Rules == nil && c.Withdraw == nil {
		v.add(whole("change"), "nothing to change")
	}
	if len(v.problems) > 0 {
		return &ValidationError{Problems: v.problems}
	}
	return nil
}

// apply returns the configuration after the change. It does not modify the
// given one.
func (c Change) apply(reg *bronzeturnv1.Register, rules *bronzeturnv1.Rules) (*bronzeturnv1.Register, *bronzeturnv1.Rules) {
	if c.Register != nil {
		reg = c.Register
	}
	if c.Rules != nil {
		rules = c.Rules
	}
	if c.Withdraw == nil {
		return reg, rules
	}
	edited := proto.CloneOf(rules)
	if edited == nil {
		edited = &bronzeturnv1.Rules{}
	}
	edited.Withdrawals = withdraw(edited.GetWithdrawals(), c.Withdraw)
	return reg, edited
}

// withdraw replaces the withdrawal of the same version or adds a new one.
func withdraw(list []*bronzeturnv1.Withdrawal, w *bronzeturnv1.Withdrawal) []*bronzeturnv1.Withdrawal {
	for i, old := range list {
		if old.GetVersion() == w.GetVersion() {
			list[i] = w
			return list
		}
	}
	return append(list, w)
}

// Result tells what Apply did.
type Result struct {
	// Generation in force that holds the change.
	Generation uint64
	// Base is the generation it was built upon.
	Base uint64
	// Unchanged is set when the content already was as asked. The generation
	// rises nonetheless: only a conditional write proves that the read was not a
	// stale one.
	Unchanged bool
	// Superseded is set when a newer generation was already in force when the
	// outcome became known.
	Superseded bool
	// NewParts and NewBytes count the parts that had to be stored.
	NewParts int
	NewBytes int
	// Parts counts the parts of the head, HeadBytes is its size.
	Parts     int
	HeadBytes int
}

// ConflictError reports that another change won. Nothing of this change is in
// force.
type ConflictError struct {
	// Base is the generation that the change was built upon, or that the
	// operator stated.
	Base uint64
	// Have is the generation in force. It equals Base when the winner could not
	// be read.
	Have uint64
	// By, At and Note tell of the change in force.
	By   string
	At   time.Time
	Note string
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("configuration conflict: change was based on generation %d, but generation %d by %q is in force", e.Base, e.Have, e.By)
}

// conflict describes the head that won.
func conflict(base uint64, head *bronzeturnv1.Head) *ConflictError {
	return &ConflictError{
		Base: base,
		Have: head.GetGeneration(),
		By:   head.GetAppliedBy(),
		At:   head.GetAppliedAt().AsTime(),
		Note: head.GetNote(),
	}
}

// OutcomeError reports that the head was sent but its fate could not be
// learnt. The change may be in force or may still come into force.
type OutcomeError struct {
	// Generation that the change has if it is in force.
	Generation uint64
	Cause      error
}

// Error implements error.
func (e *OutcomeError) Error() string {
	return fmt.Sprintf("outcome of generation %d unknown: %v", e.Generation, e.Cause)
}

// Unwrap returns the cause.
func (e *OutcomeError) Unwrap() error { return e.Cause }

// wrote tells whether the writer of the nonce wrote this head or one of the
// remembered ones before it.
func wrote(head *bronzeturnv1.Head, nonce []byte) bool {
	if bytes.Equal(head.GetNonce(), nonce) {
		return true
	}
	for _, previous := range head.GetPreviousNonces() {
		if bytes.Equal(previous, nonce) {
			return true
		}
	}
	return false
}
