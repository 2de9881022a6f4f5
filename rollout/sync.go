package rollout

import (
	"fmt"
	"strings"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// TablePrefix is the prefix of the keys of version states in the gossip table.
const TablePrefix = "cutoff/"

// Table is the gossip table that is replicated among the daemons. The entry with the
// higher version wins.
type Table interface {
	Publish(key string, version uint64, value []byte) error
	// Subscribe calls f with all current and future entries with a key prefix. An
	// empty value means that the entry was removed.
	Subscribe(prefix string, f func(key string, version uint64, value []byte))
}

// Sync exchanges cut-offs and stages with the other daemons. It is safe for
// concurrent use.
type Sync struct {
	controller *Controller
	table      Table
	log        zerolog.Logger
}

// NewSync returns a Sync. It receives states only after Start is called.
func NewSync(c *Controller, t Table, log zerolog.Logger) *Sync {
	return &Sync{controller: c, table: t, log: log.With().Str("part", "rollout").Logger()}
}

// Start subscribes to the states of other daemons.
func (s *Sync) Start() { s.table.Subscribe(TablePrefix, s.receive) }

// Changed logs a change of a version that this daemon has decided on, and publishes
// the version's state. It does nothing if the change is Unchanged.
func (s *Sync) Changed(version string, change Change) {
	if change == Unchanged {
		return
	}
	state := s.controller.Track(version).State()
	s.logState(&state, change.String(), "version judged")
	value, err := encode(&state)
	if err == nil {
		err = s.table.Publish(TablePrefix+version, state.Revision, value)
	}
	if err != nil {
		s.log.Error().Err(err).Str("version", version).Msg("failed to publish version state")
	}
}

func (s *Sync) receive(key string, revision uint64, value []byte) {
	version, ok := strings.CutPrefix(key, TablePrefix)
	if !ok || version == "" || len(value) == 0 {
		return
	}
	state, err := decode(value)
	if err != nil {
		s.log.Warn().Err(err).Str("version", version).Msg("failed to decode version state")
		return
	}
	state.Version, state.Revision = version, revision
	if s.controller.Track(version).Accept(state) {
		s.logState(&state, "received", "version state accepted from another daemon")
	}
}

func (s *Sync) logState(state *State, reason, message string) {
	s.log.Info().Str("version", state.Version).Str("reason", reason).Bool("cut_off", state.CutOff).
		Time("retry_at", state.RetryAt).Int32("strikes", state.Strikes).Int32("stage", state.Stage).Msg(message)
}

func encode(s *State) ([]byte, error) {
	message := &bronzeturnv1.VersionGate{CutOff: s.CutOff, Strikes: s.Strikes, Stage: s.Stage, Version: s.Version}
	if s.CutOff {
		message.RetryAtUnixMs = s.RetryAt.UnixMilli()
	}
	return proto.Marshal(message)
}

// decode decodes a table value. It returns ErrState if the stage or the number of
// strikes is out of range.
func decode(value []byte) (State, error) {
	message := &bronzeturnv1.VersionGate{}
	if err := proto.Unmarshal(value, message); err != nil {
		return State{}, err
	}
	s := State{CutOff: message.GetCutOff(), Strikes: message.GetStrikes(), Stage: message.GetStage()}
	if s.Stage < 0 || s.Stage > maxStage || s.Strikes < 0 {
		return State{}, fmt.Errorf("%w: stage %d, strikes %d", ErrState, s.Stage, s.Strikes)
	}
	if s.CutOff {
		s.RetryAt = time.UnixMilli(message.GetRetryAtUnixMs())
	}
	return s, nil
}
