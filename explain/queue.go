package explain

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// refusalReasons says why requests to a contended service are refused, by the field
// refused_because.
var refusalReasons = map[string]string{
	"backlog":      "it could not have started in time behind the requests ahead of it",
	"displaced":    "more preferred requests arrived after it",
	"queue_full":   "too many requests waited",
	"early_return": "its caller returned before the time that it was given",
	"no_engine":    "no engine may run it",
}

// QueueSentences describes where a request stood in the queue of a contended service: one
// sentence for each time that a daemon ended the request, none if it did not wait and was not
// refused there.
func QueueSentences(lines []Line, request string) (sentences []string) {
	for i := range lines {
		l := &lines[i]
		if l.Message != "request ended" || l.field("request") != request {
			continue
		}
		if s := l.queueSentence(); s != "" {
			sentences = append(sentences, s)
		}
	}
	return sentences
}

// queueSentence describes the wait of a request that ended, "" if there was none.
func (l *Line) queueSentence() string {
	_, waited := l.lookup("waited_ms")
	because := l.field("refused_because")
	if !waited && because == "" {
		return ""
	}
	var parts []string
	if because == "" || l.duration("waited_ms") > 0 {
		parts = append(parts, fmt.Sprintf("waited %s for its turn at the contended service %s while %s", l.duration("waited_ms"), l.field("service"), othersStarted(int(l.number("ahead")))))
	}
	switch reason, known := refusalReasons[because]; {
	case known:
		parts = append(parts, "was refused because "+reason)
	case because != "":
		parts = append(parts, "was refused because of "+strconv.Quote(because))
	case l.field("outcome") != "answered":
		parts = append(parts, "ended with "+l.field("outcome"))
	default:
		parts = append(parts, "was then served")
	}
	sentence := fmt.Sprintf("The request %s", strings.Join(parts, ", and "))
	if _, told := l.lookup("told_ms"); told {
		sentence += fmt.Sprintf("; its caller was told to return after %s", l.duration("told_ms"))
	}
	return sentence + "."
}

// othersStarted describes how many requests started meanwhile.
func othersStarted(n int) string {
	switch n {
	case 0:
		return "no other request started"
	case 1:
		return "1 other request started"
	}
	return fmt.Sprintf("%d other requests started", n)
}

// duration returns the value of a field in milliseconds.
func (l *Line) duration(name string) time.Duration {
	return time.Duration(l.number(name) * float64(time.Millisecond)).Round(time.Millisecond)
}
