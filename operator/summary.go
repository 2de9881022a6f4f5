package operator

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// ErrInvalidDays reports a day that is not in the form 2006-01-02, or a range whose
// first day is after the last.
var ErrInvalidDays = errors.New("days must be written 2006-01-02, the first one first")

// summarise sorts the daemons by name, adds the neighbours' sightings to the
// unreachable ones, and computes the rollout progress of the newest configuration.
func summarise(daemons []*bronzeturnv1.DaemonStatus) *bronzeturnv1.StatusResponse {
	slices.SortFunc(daemons, func(a, b *bronzeturnv1.DaemonStatus) int {
		return strings.Compare(a.GetName(), b.GetName())
	})
	addSightings(daemons)
	return &bronzeturnv1.StatusResponse{Daemons: daemons, Configuration: progress(daemons)}
}

func addSightings(daemons []*bronzeturnv1.DaemonStatus) {
	sightings := make(map[string][]*bronzeturnv1.Sighting)
	for _, d := range daemons {
		for _, sighting := range d.GetNeighbours() {
			sightings[sighting.GetName()] = append(sightings[sighting.GetName()], sighting)
		}
	}
	for _, d := range daemons {
		if d.GetHealth() == bronzeturnv1.DaemonHealth_DAEMON_HEALTH_UNREACHABLE {
			d.SeenBy = sightings[d.GetName()]
		}
	}
}

// progress counts the daemons that have the newest generation in force. Leaving
// daemons accept no new requests and are not counted. An unreachable daemon
// counts as not having it.
func progress(daemons []*bronzeturnv1.DaemonStatus) *bronzeturnv1.FleetConfiguration {
	fleet := &bronzeturnv1.FleetConfiguration{}
	for _, d := range daemons {
		fleet.Generation = max(fleet.Generation, d.GetNewestAccepted(), d.GetGenerationInForce())
	}
	for _, d := range daemons {
		if d.GetHealth() == bronzeturnv1.DaemonHealth_DAEMON_HEALTH_LEAVING {
			continue
		}
		fleet.Daemons++
		if fleet.Generation > 0 && d.GetGenerationInForce() == fleet.Generation {
			fleet.InForceOn++
		}
	}
	fleet.Progress = progressStage(fleet)
	return fleet
}

func progressStage(fleet *bronzeturnv1.FleetConfiguration) bronzeturnv1.ConfigurationProgress {
	switch {
	case fleet.GetGeneration() == 0:
		return bronzeturnv1.ConfigurationProgress_CONFIGURATION_PROGRESS_UNSPECIFIED
	case fleet.GetInForceOn() == 0:
		return bronzeturnv1.ConfigurationProgress_CONFIGURATION_PROGRESS_ACCEPTED
	case fleet.GetInForceOn() < fleet.GetDaemons():
		return bronzeturnv1.ConfigurationProgress_CONFIGURATION_PROGRESS_IN_FORCE_ON_SOME
	default:
		return bronzeturnv1.ConfigurationProgress_CONFIGURATION_PROGRESS_IN_FORCE
	}
}

// ProgressText returns the progress as text: "accepted", "in force on 2 of 6",
// "in force", or "none" without a configuration.
func ProgressText(fleet *bronzeturnv1.FleetConfiguration) string {
	switch fleet.GetProgress() {
	case bronzeturnv1.ConfigurationProgress_CONFIGURATION_PROGRESS_ACCEPTED:
		return "accepted"
	case bronzeturnv1.ConfigurationProgress_CONFIGURATION_PROGRESS_IN_FORCE_ON_SOME:
		return fmt.Sprintf("in force on %d of %d", fleet.GetInForceOn(), fleet.GetDaemons())
	case bronzeturnv1.ConfigurationProgress_CONFIGURATION_PROGRESS_IN_FORCE:
		return "in force"
	default:
		return "none"
	}
}

// checkDays returns ErrInvalidDays for days that cannot be parsed or are in the
// wrong order.
func checkDays(request *bronzeturnv1.BillsRequest) error {
	from, through := request.GetFromDay(), request.GetThroughDay()
	for _, day := range []string{from, through} {
		if day == "" {
			continue
		}
		if _, err := time.Parse(time.DateOnly, day); err != nil {
			return fmt.Errorf("%q: %w", day, ErrInvalidDays)
		}
	}
	if from != "" && through != "" && from > through {
		return fmt.Errorf("%q to %q: %w", from, through, ErrInvalidDays)
	}
	return nil
}

func sortTotals(totals []*bronzeturnv1.BillTotal) {
	slices.SortFunc(totals, func(a, b *bronzeturnv1.BillTotal) int {
		return cmp.Or(
			strings.Compare(a.GetOrganisation(), b.GetOrganisation()),
			strings.Compare(a.GetVersion(), b.GetVersion()),
			strings.Compare(a.GetDay(), b.GetDay()),
		)
	})
}
