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

// ErrDay reports a day that is not written 2006-01-02, or days in wrong order.
var ErrDay = errors.New("days must be written 2006-01-02, the first one first")

// summarise sorts the daemons, adds to the unreachable ones what others know,
// and tells how far the newest configuration has come.
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

// progress counts the daemons that have the newest generation in force.
// Leaving daemons take no new work and don't count. An unreachable one counts
// as not having it.
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
	fleet.Progress = progressOf(fleet)
	return fleet
}

func progressOf(fleet *bronzeturnv1.FleetConfiguration) bronzeturnv1.ConfigurationProgress {
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

// ProgressText returns the progress in words: "accepted", "in force on 2 of 6",
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

// checkDays reports days that can't be meant.
func checkDays(request *bronzeturnv1.BillsRequest) error {
	from, through := request.GetFromDay(), request.GetThroughDay()
	for _, day := range []string{from, through} {
		if day == "" {
			continue
		}
		if _, err := time.Parse(time.DateOnly, day); err != nil {
			return fmt.Errorf("%q: %w", day, ErrDay)
		}
	}
	if from != "" && through != "" && from > through {
		return fmt.Errorf("%q to %q: %w", from, through, ErrDay)
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
