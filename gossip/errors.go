package gossip

import (
	"errors"
	"fmt"
)

// Reason says why an entry was refused.
type Reason string

// The reasons of a RefusedError.
const (
	ReasonUnknownClass Reason = "unknown_class"
	ReasonKeyLength    Reason = "key_length"
	ReasonValueSize    Reason = "value_size"
	ReasonVersion      Reason = "version_out_of_range"
	ReasonFull         Reason = "class_full"
	ReasonExpired      Reason = "expired"
)

// RefusedError reports an entry outside the bounds of its class. Nothing was
// changed.
type RefusedError struct {
	Key    string
	Reason Reason
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("table entry %.64q refused: %s", e.Key, e.Reason)
}

// OptionError reports a wrong option of New.
type OptionError struct {
	Option string
}

// Error implements error.
func (e *OptionError) Error() string { return fmt.Sprintf("gossip option %s is not valid", e.Option) }

// HelloError reports a stream whose first frame names no usable sender.
type HelloError struct {
	Name string
}

// Error implements error.
func (e *HelloError) Error() string {
	return fmt.Sprintf("overlay stream names no usable sender: %.64q", e.Name)
}

// Reasons why a link ended.
var (
	// ErrSilent reports a link that carried nothing for the silence timeout.
	ErrSilent = errors.New("overlay link went silent")
	// ErrStopped reports that this daemon's overlay has stopped.
	ErrStopped = errors.New("overlay stopped")
	// ErrGoodbye reports a link whose neighbour has stopped in good order.
	ErrGoodbye = errors.New("overlay neighbour stopped")
	// ErrReplaced reports a link given up for another to the same neighbour.
	ErrReplaced = errors.New("overlay link replaced")
	// ErrNotWanted reports a link to a neighbour that is no longer chosen.
	ErrNotWanted = errors.New("overlay link not wanted")
	// ErrReferred reports that a neighbour at its link limit refused the link and sent
	// entries of other daemons.
	ErrReferred = errors.New("overlay neighbour at link limit sent referral")
	// ErrTooManyLinks reports that the bound on links is reached.
	ErrTooManyLinks = errors.New("too many overlay links")
)
