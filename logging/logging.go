// Package logging builds the loggers of a daemon. The lines of each part of a daemon have
// a field "part" with its name. Values that must never be logged have type Secret.
package logging

import (
	"io"
	"time"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/rs/zerolog"
)

// Names of the fields that lines have.
const (
	fieldHost = "host"
	fieldPart = "part"
)

// timeLayout is RFC 3339 in UTC with milliseconds.
const timeLayout = "2006-01-02T15:04:05.000Z"

// levels maps the values of the setting log-level to levels.
var levels = map[string]zerolog.Level{
	"debug": zerolog.DebugLevel,
	"info":  zerolog.InfoLevel,
	"warn":  zerolog.WarnLevel,
	"error": zerolog.ErrorLevel,
}

// timestamp is a hook that adds the time to lines, in timeLayout. zerolog's own timestamp
// takes its format from a global variable.
type timestamp struct{}

// Run implements zerolog.Hook.
func (timestamp) Run(e *zerolog.Event, _ zerolog.Level, _ string) {
	var buffer [len(timeLayout)]byte
	e.Bytes(zerolog.TimestampFieldName, time.Now().UTC().AppendFormat(buffer[:0], timeLayout))
}

// New returns the logger of a daemon with settings s. It writes each line to w in one call
// of Write, which must be safe for concurrent use. An unknown level counts as info, an
// unknown format as JSON.
func New(s *bronzeturnv1.Settings, w io.Writer) zerolog.Logger {
	if s.GetLogFormat() == "console" {
		w = zerolog.ConsoleWriter{Out: w}
	}
	level, ok := levels[s.GetLogLevel()]
	if !ok {
		level = zerolog.InfoLevel
	}
	return zerolog.New(w).Level(level).Hook(timestamp{}).With().Str(fieldHost, s.GetName()).Logger()
}

// Part returns a logger for one part of the daemon, such as "router".
func Part(log zerolog.Logger, part string) zerolog.Logger {
	return log.With().Str(fieldPart, part).Logger()
}

// NewJSON returns the logger of a host that writes lines of level info and above as JSON.
func NewJSON(w io.Writer, host string) zerolog.Logger {
	return New(&bronzeturnv1.Settings{Name: host}, w)
}
