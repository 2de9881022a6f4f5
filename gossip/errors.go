package gossip

import (
	"errors"
	"fmt"
)

// Reason is why an entry was refused.
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

// RefusedError reports an entry that exceeds the limits of the table or of its class. The table
// is unchanged.
type RefusedError struct {
	Key    string
	Reason Reason
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("table entry %.64q refused: %s", e.Key, e.Reason)
}

// OptionError reports an invalid option passed to New.
type OptionError struct {
	Option string
}

// Error implements error.
func (e *OptionError) Error() string { return fmt.Sprintf("gossip option %s is not valid", e.Option) }

// HelloError reports a stream whose first frame contains no valid sender name.
type HelloError struct {
	Name string
}

// Error implements error.
func (e *HelloError) Error() string {
	return fmt.Sprintf("overlay stream names no usable sender: %.64q", e.Name)
}

// Causes for which a link ends or is refused.
var (
	// ErrSilent reports a link on which no frame arrived for SilenceTimeout.
	ErrSilent = errors.New("overlay link went silent")
	// ErrStopped reports that the local node has stopped or is draining.
	ErrStopped = errors.New("overlay stopped")
	// ErrGoodbye reports that the neighbour shut down in an orderly way.
	ErrGoodbye = errors.New("overlay neighbour stopped")
	// ErrReplaced reports a link closed in favour of another link to the same neighbour.
	ErrReplaced = errors.New("overlay link replaced")
	// ErrNotWanted reports a link to a daemon that is no longer a target.
	ErrNotWanted = errors.New("overlay link not wanted")
	// ErrReferred reports that a neighbour at its link limit refused the link and sent
	// entries of other daemons.
	ErrReferred = errors.New("overlay neighbour at link limit sent referral")
	// ErrTooManyLinks reports that this daemon accepts no further links at present.
	ErrTooManyLinks = errors.New("too many overlay links")
)
