package route

import "slices"

// Homes are the regions that a request may be worked on in. The zero value allows all.
type Homes struct {
	// Bound tells that only Regions are allowed; with none of them, nowhere is.
	Bound   bool
	Regions []string
}

// Allow tells whether a region is among the homes.
func (h Homes) Allow(region string) bool { return !h.Bound || slices.Contains(h.Regions, region) }

// homesOf returns the homes that a configuration lists, where none means all.
func homesOf(regions []string) Homes { return Homes{Bound: len(regions) > 0, Regions: regions} }

// HomesFor returns where a route's requests of an organisation, nil for none, may be worked
// on: where both have homes, both bind.
func HomesFor(r *Route, o *Organisation) Homes {
	homes := homesOf(r.Homes)
	if o == nil || len(o.Homes) == 0 {
		return homes
	}
	if !homes.Bound {
		return homesOf(o.Homes)
	}
	both := Homes{Bound: true}
	for _, region := range r.Homes {
		if slices.Contains(o.Homes, region) {
			both.Regions = append(both.Regions, region)
		}
	}
	return both
}
