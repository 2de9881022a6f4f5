// Package logging builds the loggers of a daemon. Every part logs with a fixed
// field "part"; values that must never be logged are of type Secret.
package logging

import (
	"io"
	"time"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/rs/zerolog"
)

// Fields that each line carries.
const (
	fieldHost = "host"
	fieldPart = "part"
)

// timeLayout is RFC 3339 in UTC with milliseconds.
const timeLayout = "2006-01-02T15:04:05.000Z"

// levels maps the values of the setting log-level.
var levels = map[string]zerolog.Level{
	"debug": zerolog.DebugLevel,
	"info":  zerolog.InfoLevel,
	"warn":  zerolog.WarnLevel,
	"error": zerolog.ErrorLevel,
}

// timestamp adds the time of a line without changing zerolog's global settings.
type timestamp struct{}

// Run implements zerolog.Hook.
func (timestamp) Run(e *zerolog.Event, _ zerolog.Level, _ string) {
	var buffer [len(timeLayout)]byte
	e.Bytes(zerolog.TimestampFieldName, time.Now().UTC().AppendFormat(buffer[:0], timeLayout))
}

// New returns the logger of the daemon that s describes. It writes one line per
// call to w, which must be safe for concurrent use. An unknown level counts as
// info, an unknown format as json.
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

// NewJSON returns a logger of JSON lines of all levels from info on, for a host.
func NewJSON(w io.Writer, host string) zerolog.Logger {
	return New(&bronzeturnv1.Settings{Name: host}, w)
}
