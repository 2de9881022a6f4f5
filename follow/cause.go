package follow

import "sync/atomic"

// Cause is why objects are listed rather than watched.
type Cause int32

// The causes of a list.
const (
	// CauseNone lists nothing.
	CauseNone Cause = iota
	// CauseStart is the first list of a daemon.
	CauseStart
	// CauseRetry follows a list that failed.
	CauseRetry
	// CauseNoAnswer follows a watch that ended without an answer.
	CauseNoAnswer
	// CauseHistoryGone follows a watch whose history the store has forgotten.
	CauseHistoryGone
	// CauseOtherWatch follows either of these at a watch of another kind.
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

// causeFlag holds why the next call is a list, if it is one. It is safe for concurrent
// use.
type causeFlag struct{ value atomic.Int32 }

func (f *causeFlag) set(c Cause) { f.value.Store(int32(c)) }
func (f *causeFlag) isSet() bool { return Cause(f.value.Load()) != CauseNone }
func (f *causeFlag) take() Cause { return Cause(f.value.Swap(int32(CauseNone))) }
