package dispatch

import "time"

// logInterval is the least time between two log lines on state changes of a service.
const logInterval = time.Second

// state is what is logged when it changes.
type state struct {
	contended, alone bool
	coordinator      string
	at               time.Time
}

// logState logs what has changed since the last line, at most once per logInterval. s.mu is
// held.
func (s *service) logState(now time.Time) {
	next := state{contended: s.looping, alone: s.looping && s.client.local != nil, at: now, coordinator: s.client.owner}
	last := s.logged
	if next.contended == last.contended && next.alone == last.alone && next.coordinator == last.coordinator ||
		!last.at.IsZero() && now.Sub(last.at) < logInterval {
		return
	}
	s.logged = next
	message := "service is contended"
	switch {
	case !next.contended:
		message = "service is not contended any more"
	case next.alone && !last.alone:
		message = "coordinator does not answer, using an equal share of the capacity"
	case !next.alone && last.alone:
		message = "coordinator answers again"
	case last.contended:
		message = "coordinator of the service has changed"
	}
	s.d.Log.Info().Str("service", s.name).Str("coordinator", next.coordinator).Msg(message)
}
