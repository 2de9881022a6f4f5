package logging

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
)

func TestLineHasTimeHostAndPart(t *testing.T) {
	c := qt.New(t)
	var b bytes.Buffer
	log := Part(New(&bronzeturnv1.Settings{Name: "h1", LogLevel: "info"}, &b), "router")
	log.Debug().Msg("hidden")
	log.Info().Int("tokens", 3).Msg("request answered")
	var line struct {
		Time, Host, Part, Level, Message string
		Tokens                           int
	}
	c.Assert(json.Unmarshal(b.Bytes(), &line), qt.IsNil)
	_, err := time.Parse(time.RFC3339, line.Time)
	c.Check(err, qt.IsNil)
	c.Check(line.Host, qt.Equals, "h1")
	c.Check(line.Part, qt.Equals, "router")
	c.Check(line.Level, qt.Equals, "info")
	c.Check(line.Message, qt.Equals, "request answered")
	c.Check(line.Tokens, qt.Equals, 3)
}

func TestLinesBelowLevelAreDropped(t *testing.T) {
	for level, want := range map[string]int{"debug": 4, "info": 3, "warn": 2, "error": 1, "": 3} {
		t.Run(level, func(t *testing.T) {
			var b bytes.Buffer
			log := New(&bronzeturnv1.Settings{LogLevel: level}, &b)
			for _, l := range []zerolog.Level{zerolog.DebugLevel, zerolog.InfoLevel, zerolog.WarnLevel, zerolog.ErrorLevel} {
				log.WithLevel(l).Msg("x")
			}
			qt.Check(t, strings.Count(b.String(), "\n"), qt.Equals, want)
		})
	}
}

func TestConsoleFormatIsNotJSON(t *testing.T) {
	var b bytes.Buffer
	log := New(&bronzeturnv1.Settings{LogFormat: "console"}, &b)
	log.Info().Msg("daemon started")
	qt.Check(t, b.String(), qt.Contains, "daemon started")
	qt.Check(t, json.Valid(b.Bytes()), qt.IsFalse)
}

func TestSecretIsNeverWritten(t *testing.T) {
	const key = "sk-very-secret"
	s := NewSecret(key)
	holder := struct {
		Key     Secret
		Pointer *Secret
	}{s, &s}
	var b bytes.Buffer
	log := New(&bronzeturnv1.Settings{}, &b)
	log.Info().Interface("key", s).Any("holder", holder).Stringer("text", s).Msgf("%v %+v %#v %s %q %x", s, holder, s, s, s, s)
	encoded, err := json.Marshal(holder)
	qt.Assert(t, err, qt.IsNil)
	for _, output := range []string{b.String(), string(encoded), fmt.Sprintf("%#v %d", holder, s)} {
		qt.Check(t, output, qt.Not(qt.Contains), key)
		qt.Check(t, output, qt.Not(qt.Contains), fmt.Sprintf("%x", key))
		qt.Check(t, output, qt.Contains, redacted)
	}
	qt.Check(t, s.Reveal(), qt.Equals, key)
}
