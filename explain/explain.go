// Package explain analyses the log files of daemons. It reconstructs what happened
// to one request, lists the state changes of the fleet in order of time, and sums up
// why requests fell short of their full worth.
package explain

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// maxLineBytes is the length limit of one log line.
const maxLineBytes = 1 << 20

// State changes this long before a request's first log line and after its last one are
// part of its timeline.
const (
	contextBefore = 5 * time.Second
	contextAfter  = time.Second
)

// Line is one log line.
type Line struct {
	Time    time.Time
	Host    string
	Part    string
	Level   string
	Message string
	// Fields holds the other fields in the order of the line.
	Fields []Field
}

// Field is one field of a line. Value is its JSON text.
type Field struct {
	Name, Value string
}

// field returns the value of a field without quotes, or "" if the line does not have it.
func (l *Line) field(name string) string {
	value, _ := l.lookup(name)
	return strings.Trim(value, `"`)
}

// lookup returns the JSON text of a field and reports whether the line has it.
func (l *Line) lookup(name string) (string, bool) {
	for _, f := range l.Fields {
		if f.Name == name {
			return f.Value, true
		}
	}
	return "", false
}

// list returns the value of a field that is a list of strings, or nil if it is not one.
func (l *Line) list(name string) (texts []string) {
	value, _ := l.lookup(name)
	if json.Unmarshal([]byte(value), &texts) != nil {
		return nil
	}
	return texts
}

// ReadLog returns the lines of a log in the order of the file. Lines that are not a JSON
// object with a time are skipped and counted.
func ReadLog(r io.Reader) (lines []Line, skipped int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		line, ok := parse(scanner.Bytes())
		if !ok {
			skipped++
			continue
		}
		lines = append(lines, line)
	}
	return lines, skipped, scanner.Err()
}

// parse parses one line. It ignores text before the JSON object, which log collectors add.
func parse(text []byte) (Line, bool) {
	start := strings.IndexByte(string(text), '{')
	if start < 0 {
		return Line{}, false
	}
	decoder := json.NewDecoder(strings.NewReader(string(text[start:])))
	if token, err := decoder.Token(); err != nil || token != json.Delim('{') {
		return Line{}, false
	}
	var l Line
	for decoder.More() {
		token, err := decoder.Token()
		name, isName := token.(string)
		var value json.RawMessage
		if err != nil || !isName || decoder.Decode(&value) != nil {
			return Line{}, false
		}
		l.setField(name, value)
	}
	return l, !l.Time.IsZero()
}

// setField stores one field.
func (l *Line) setField(name string, value json.RawMessage) {
	var text string
	isText := json.Unmarshal(value, &text) == nil
	switch {
	case name == "time" && isText:
		if at, err := time.Parse(time.RFC3339Nano, text); err == nil {
			l.Time = at
		}
	case name == "host" && isText:
		l.Host = text
	case name == "part" && isText:
		l.Part = text
	case name == "level" && isText:
		l.Level = text
	case name == "message" && isText:
		l.Message = text
	default:
		l.Fields = append(l.Fields, Field{Name: name, Value: string(value)})
	}
}

// stateChangeMessages are the prefixes of the messages that report a change in the state
// of a daemon or in what it knows of engines, configuration, store and introductions.
var stateChangeMessages = []string{
	"daemon started", "daemon takes requests", "daemon leaves", "daemon stopped", "daemon state changed", "many daemons joined", "many engines changed",
	"configuration in force", "configuration refused", "store does not answer", "store answers again",
	"history gone", "watchers of the store changed", "registration names no engine", "copy taken from another daemon", "engine takes work", "engine takes no work",
	"belief about an engine changed", "introduction ordered", "verdict on an introduction",
	"data centre evacuated", "evacuation over", "engine is cold", "engine is warm", "engine took no connection", "the list of engines is doubted", "engine ended", "engine cut answers", "request put into quarantine", "request released from quarantine", "request is in quarantine by the store", "record of a quarantine", "sends of a request in quarantine ended",
	"introduction changed its state", "state of an introduction written", "settings reloaded", "settings refused",
	"service is contended", "service is not contended any more", "coordinator does not answer", "coordinator answers again", "coordinator of the service has changed",
	"lines dropped",
}

// isStateChange reports whether the line reports such a change.
func (l *Line) isStateChange() bool {
	return slices.ContainsFunc(stateChangeMessages, func(prefix string) bool { return strings.HasPrefix(l.Message, prefix) })
}

// sortByTime sorts lines by their time. The clocks of hosts may differ, so lines of
// different hosts may be in the wrong order.
func sortByTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}

// Timeline returns the lines that report state changes, in order of time.
func Timeline(lines []Line) []Line {
	var changes []Line
	for _, l := range lines {
		if l.isStateChange() {
			changes = append(changes, l)
		}
	}
	sortByTime(changes)
	return changes
}

// RequestTimeline returns the lines of one request in order of time, together with the
// state changes around it that concern its engines or its service on any daemon, and
// other state changes of its own daemon. It is empty if no line names the request.
func RequestTimeline(lines []Line, request string) []Line {
	var own []Line
	for _, l := range lines {
		if l.field("request") == request {
			own = append(own, l)
		}
	}
	if len(own) == 0 {
		return nil
	}
	sortByTime(own)
	scope := scopeOf(own)
	timeline := own
	for _, l := range lines {
		if l.isStateChange() && scope.includes(&l) {
			timeline = append(timeline, l)
		}
	}
	sortByTime(timeline)
	return timeline
}

// requestScope holds the time span, host, service and engines of a request. Engines that
// its log lines name are included even if they did not answer.
type requestScope struct {
	from, to time.Time
	host     string
	service  string
	engines  map[string]bool
}

// scopeOf returns the scope that the request's own lines, sorted by time, give.
func scopeOf(own []Line) requestScope {
	scope := requestScope{engines: make(map[string]bool)}
	first, last := own[0].Time, own[len(own)-1].Time
	for i := range own {
		scope.host = own[i].Host
		if s := own[i].field("service"); s != "" {
			scope.service = s
		}
		if e := own[i].field("engine"); e != "" {
			scope.engines[e] = true
		}
		for _, e := range own[i].list("engines") {
			scope.engines[e] = true
		}
	}
	scope.from, scope.to = first.Add(-contextBefore), last.Add(contextAfter)
	return scope
}

// includes reports whether a state change concerns the request. A line that names
// engines is matched by engine, else one that names a service by service, else by host.
func (scope *requestScope) includes(l *Line) bool {
	if l.Time.Before(scope.from) || l.Time.After(scope.to) {
		return false
	}
	if engine := l.field("engine"); engine != "" {
		return scope.engines[engine]
	}
	if engines := l.list("engines"); len(engines) > 0 {
		return slices.ContainsFunc(engines, func(e string) bool { return scope.engines[e] })
	}
	if service := l.field("service"); service != "" {
		return service == scope.service
	}
	return l.Host == scope.host
}

// WriteLines writes lines as text, with the time of day, host, message and fields.
func WriteLines(w io.Writer, lines []Line) error {
	for _, l := range lines {
		var fields strings.Builder
		for _, f := range l.Fields {
			fmt.Fprintf(&fields, " %s=%s", f.Name, strings.Trim(f.Value, `"`))
		}
		if _, err := fmt.Fprintf(w, "%s %-24s %s:%s\n", l.Time.Format("15:04:05.000"), l.Host, l.Message, fields.String()); err != nil {
			return err
		}
	}
	return nil
}
