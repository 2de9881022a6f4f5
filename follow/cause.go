package follow

import "sync/atomic"

// Cause is the reason why objects are listed rather than watched.
type Cause int32

// The causes of a list.
const (
	// CauseNone means that no list is required.
	CauseNone Cause = iota
	// CauseStart is the first list of a daemon.
	CauseStart
	// CauseRetry follows a failed list.
	CauseRetry
	// CauseNoAnswer follows a watch that ended without a response.
	CauseNoAnswer
	// CauseHistoryGone follows a watch from a revision whose history the store no longer holds.
	CauseHistoryGone
	// CauseOtherWatch follows a failed watch of another kind.
	CauseOtherWatch
)

// String returns the name of the cause for logs and metrics.
func (c Cause) String() string {
	switch c {
	case CauseStart:
		return "start"
	case CauseRetry:
		return "retry"
	case CauseNoAnswer:
		return "watch_without_answer"
	case CauseHistoryGone:
		return "history_gone"
	case CauseOtherWatch:
		return "other_watch"
	default:
		return "none"
	}
}

// causeFlag holds the reason why the next store call is a list, or CauseNone. It is safe for
// concurrent use.
type causeFlag struct{ value atomic.Int32 }

func (f *causeFlag) set(c Cause) { f.value.Store(int32(c)) }
func (f *causeFlag) isSet() bool { return Cause(f.value.Load()) != CauseNone }
func (f *causeFlag) take() Cause { return Cause(f.value.Swap(int32(CauseNone))) }
