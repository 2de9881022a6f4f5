package config

import (
	"bytes"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// Change is a change to the configuration in force. Nil fields leave their part of
// it as it is.
type Change struct {
	// Register replaces the entire register.
	Register *bronzeturnv1.Register
	// Rules replaces all rules.
	Rules *bronzeturnv1.Rules
	// Withdraw adds the withdrawal of a version, or replaces an existing one.
	Withdraw *bronzeturnv1.Withdrawal
	// Base is the generation that the change was prepared for, zero if there was
	// no configuration. If it is set and another generation is in force, the change
	// is refused with a ConflictError.
	Base *uint64
	// AppliedBy names the operator, Note is free text. Both are stored in the head.
	AppliedBy string
	Note      string
}

// rebasable reports whether the change has the same meaning on any generation, so
// that it may be built again on a newer one after a conflict.
func (c Change) rebasable() bool {
	return c.Register == nil && c.Rules == nil && c.Base == nil
}

// validate checks the texts that are stored in the head, and that the change is not
// empty.
func (c Change) validate() error {
	v := &validator{}
	v.text(sectionPath("change").at("applied_by"), c.AppliedBy, maxOperatorBytes)
	v.text(sectionPath("change").at("note"), c.Note, maxReasonBytes)
	if c.Register == nil && c.Rules == nil && c.Withdraw == nil {
		v.add(sectionPath("change"), "change has no register, no rules and no withdrawal")
	}
	if len(v.problems) > 0 {
		return &ValidationError{Problems: v.problems}
	}
	return nil
}

// apply returns the configuration after the change. It does not modify its
// arguments.
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

// Result describes a change that Apply has published.
type Result struct {
	// Generation is the generation that the change created.
	Generation uint64
	// Base is the generation that the change was built on.
	Base uint64
	// Unchanged is set when the configuration already had this content. The
	// generation is incremented nonetheless, as only a conditional write proves
	// that the configuration read before was not stale.
	Unchanged bool
	// Superseded is set when a newer generation was already in force when the
	// result of the write became known.
	Superseded bool
	// NewParts and NewBytes are the number and the total size of the parts that had
	// to be stored.
	NewParts int
	NewBytes int
	// Parts is the number of parts of the head, HeadBytes its size.
	Parts     int
	HeadBytes int
}

// ConflictError reports that another change was published first. No part of this
// change is in force.
type ConflictError struct {
	// Base is the generation that the change was built upon, or that the
	// operator stated.
	Base uint64
	// Have is the generation in force. It equals Base when the head of the other
	// change could not be read.
	Have uint64
	// By, At and Note describe the change in force.
	By   string
	At   time.Time
	Note string
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("configuration conflict: change was based on generation %d, but generation %d by %q is in force", e.Base, e.Have, e.By)
}

// newConflictError returns the error for a change that lost against head.
func newConflictError(base uint64, head *bronzeturnv1.Head) *ConflictError {
	return &ConflictError{
		Base: base,
		Have: head.GetGeneration(),
		By:   head.GetAppliedBy(),
		At:   head.GetAppliedAt().AsTime(),
		Note: head.GetNote(),
	}
}

// OutcomeError reports that the head was sent to the store but the result of the
// write is unknown. The change may be in force or may still come into force.
type OutcomeError struct {
	// Generation is the generation of the change if it is in force.
	Generation uint64
	Cause      error
}

// Error implements error.
func (e *OutcomeError) Error() string {
	return fmt.Sprintf("outcome of generation %d unknown: %v", e.Generation, e.Cause)
}

// Unwrap returns the cause.
func (e *OutcomeError) Unwrap() error { return e.Cause }

// writtenBy reports whether the writer with the nonce wrote this head or one of the
// earlier heads whose nonces it still lists.
func writtenBy(head *bronzeturnv1.Head, nonce []byte) bool {
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
