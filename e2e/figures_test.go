package e2e

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/bronzeturn/bronzeturn/platform/emulator"
)

// figures are the counts of a part of a load's requests.
type figures struct {
	// asked counts the requests, inTime those answered within a limit, late those answered
	// after it, gaveUp those whose caller disconnected at its deadline.
	asked, inTime, late, gaveUp int
	// statuses counts the answers with other statuses, failed the requests without an answer.
	statuses map[int]int
	failed   int
	// slowestRefusal is the longest time until a refusal.
	slowestRefusal time.Duration
}

// figures counts the requests for which keep returns true. limit is the time until the answer
// up to which it is in time.
func (l *loadRun) figures(limit time.Duration, keep func(loadTry) bool) figures {
	f := figures{statuses: make(map[int]int)}
	for _, t := range l.tries {
		if !keep(t) {
			continue
		}
		f.asked++
		switch {
		case t.status == http.StatusOK && t.took <= limit:
			f.inTime++
		case t.status == http.StatusOK:
			f.late++
		case t.status != 0:
			f.statuses[t.status]++
		case t.deadline:
			f.gaveUp++
		default:
			f.failed++
		}
		if t.refused() {
			f.slowestRefusal = max(f.slowestRefusal, t.took)
		}
	}
	return f
}

// served counts the requests that were answered.
func (f figures) served() int { return f.inTime + f.late }

// String returns the counts in the form of a log line.
func (f figures) String() string {
	var refused []string
	for status, n := range f.statuses {
		refused = append(refused, fmt.Sprintf("%d: %d", status, n))
	}
	slices.Sort(refused)
	return fmt.Sprintf("asked %d, in time %d (%.3f), late %d, disconnected at the deadline %d, by other status {%s}, failed %d, slowest refusal %v",
		f.asked, f.inTime, share(f.inTime, f.asked), f.late, f.gaveUp, strings.Join(refused, ", "), f.failed, f.slowestRefusal.Round(time.Millisecond))
}

// share returns part/whole, 0 if both are 0.
func share(part, whole int) float64 { return float64(part) / float64(max(whole, 1)) }

// engineFigures are the counts of the engines' runs of a load.
type engineFigures struct {
	// runs counts the runs, aborted those whose sender had disconnected at their end, and
	// answered those whose answer reached the caller.
	runs, aborted, answered int
	// refusedButRan counts the refused requests that ran.
	refusedButRan int
	// busy is the share of the slot time in which requests ran while callers arrived, from 0
	// to 1.
	busy float64
	// stretch is the mean time of complete runs relative to the one that the engines are set
	// to. Above 1, the machine is too busy for the engines to have their capacity.
	stretch float64
}

// engineFigures counts the runs of the load.
func (l *loadRun) engineFigures() engineFigures {
	f := engineFigures{busy: l.fleet.record.BusyShare(l.fleet.engines, l.started, l.started.Add(l.length))}
	workTimes := make(map[string]time.Duration)
	for _, e := range l.fleet.engines {
		workTimes[e.Spec.ID] = e.Spec.RunTime()
	}
	completed, ran := make(map[string]bool), make(map[string]bool)
	for _, run := range l.runs() {
		f.runs++
		ran[run.RequestID] = true
		if run.Aborted {
			f.aborted++
		} else {
			completed[run.RequestID] = true
			f.stretch += run.Ended.Sub(run.At).Seconds() / workTimes[run.Engine].Seconds()
		}
	}
	f.stretch /= float64(max(len(completed), 1))
	for _, t := range l.tries {
		if t.status == http.StatusOK && completed[t.id] {
			f.answered++
		}
		if t.refused() && ran[t.id] {
			f.refusedButRan++
		}
	}
	return f
}

// runs returns the engines' runs of the load.
func (l *loadRun) runs() []emulator.Run {
	return slices.DeleteFunc(l.fleet.record.Runs(""), func(r emulator.Run) bool { return !strings.HasPrefix(r.RequestID, "load-") })
}

// String returns the counts in the form of a log line.
func (f engineFigures) String() string {
	return fmt.Sprintf("runs %d, without their sender at the end %d, reached their caller %d (%.3f), refused but ran %d, slots busy %.3f, run time %.3f of the set one",
		f.runs, f.aborted, f.answered, share(f.answered, f.runs), f.refusedButRan, f.busy, f.stretch)
}
