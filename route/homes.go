package route

import "slices"

// RegionSet are the regions that a request may be worked on in. The zero value allows all.
type RegionSet struct {
	// Limited tells that only Regions are allowed; with none of them, nowhere is.
	Limited bool
	Names   []string
}

// Allows tells whether a region is among the homes.
func (h RegionSet) Allows(region string) bool { return !h.Limited || slices.Contains(h.Names, region) }

// homesOf returns the homes that a configuration lists, where none means all.
func homesOf(names []string) RegionSet { return RegionSet{Limited: len(names) > 0, Names: names} }

// AllowedRegionsFor returns where a route's requests of an organisation, nil for none, may be worked
// on: where both have homes, both bind.
func AllowedRegionsFor(r *Route, o *Organisation) RegionSet {
	homes := homesOf(r.HomeRegions)
	if o == nil || len(o.HomeRegions) == 0 {
		return homes
	}
	if !homes.Limited {
		return homesOf(o.HomeRegions)
	}
	both := RegionSet{Limited: true}
	for _, region := range r.HomeRegions {
		if slices.Contains(o.HomeRegions, region) {
			both.Names = append(both.Names, region)
		}
	}
	return both
}
