package entry

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/membership"
)

func TestCallersGetAddressesOfTheirRegion(t *testing.T) {
	c := qt.New(t)
	regions := map[string]string{"hall-1": "north", "hall-2": "north", "hall-3": "south"}
	members := []membership.Member{
		{Name: "a", DataCentre: "hall-1", State: membership.Live},
		{Name: "b", DataCentre: "hall-2", State: membership.Live},
		{Name: "c", DataCentre: "hall-3", State: membership.Live},
		{Name: "d", DataCentre: "hall-3", State: membership.Suspected},
		{Name: "e", DataCentre: "hall-3", State: membership.Live},
	}
	ready := map[string]string{"a": "1", "b": "2", "c": "3", "d": "4"}
	ask := func(region string) []string {
		return addressesFor(AddressQuery{Region: region}, members, ready, regions)
	}
	c.Check(ask("north"), qt.DeepEquals, []string{"1", "2"})
	c.Check(ask("south"), qt.DeepEquals, []string{"3"})
	c.Check(ask(""), qt.DeepEquals, []string{"1", "2", "3"})
	c.Check(ask("nowhere"), qt.DeepEquals, []string{"1", "2", "3"})
	members[2].State = membership.Suspected
	c.Check(ask("south"), qt.DeepEquals, []string{"1", "2"})
}
