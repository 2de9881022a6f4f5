package route

import "slices"

// AllowedRegions are the regions that a request may be worked on in. The zero value allows all.
type AllowedRegions struct {
	// Restricted tells that only Regions are allowed; with none of them, nowhere is.
	Restricted bool
	Regions    []string
}

// Allows tells whether a region is among the homes.
func (h AllowedRegions) Allows(region string) bool {
	return !h.Restricted || slices.Contains(h.Regions, region)
}

// homesOf returns the homes that a configuration lists, where none means all.
func homesOf(regions []string) AllowedRegions {
	return AllowedRegions{Restricted: len(regions) > 0, Regions: regions}
}

// AllowedRegionsFor returns where a route's requests of an organisation, nil for none, may be worked
// on: where both have homes, both bind.
func AllowedRegionsFor(r *Route, o *Organisation) AllowedRegions {
	homes := homesOf(r.HomeRegions)
	if o == nil || len(o.HomeRegions) == 0 {
		return homes
	}
	if !homes.Restricted {
		return homesOf(o.HomeRegions)
	}
	both := AllowedRegions{Restricted: true}
	for _, region := range r.HomeRegions {
		if slices.Contains(o.HomeRegions, region) {
			both.Regions = append(both.Regions, region)
		}
	}
	return both
}
