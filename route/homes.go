package route

import "slices"

// RegionSet is the set of regions whose engines may serve a request. The zero value
// allows all regions.
type RegionSet struct {
	// Limited restricts requests to Names. With no Names, no region is allowed.
	Limited bool
	Names   []string
}

// Allows reports whether engines of the region may serve the request.
func (s RegionSet) Allows(region string) bool { return !s.Limited || slices.Contains(s.Names, region) }

// regionsOf returns the regions that a configuration lists, where an empty list
// means all.
func regionsOf(names []string) RegionSet { return RegionSet{Limited: len(names) > 0, Names: names} }

// AllowedRegionsFor returns the regions that may serve an organisation's requests on
// a route; o is nil for requests without an organisation. When both list regions,
// only those on both lists are allowed.
func AllowedRegionsFor(r *Route, o *Organisation) RegionSet {
	allowed := regionsOf(r.HomeRegions)
	if o == nil || len(o.HomeRegions) == 0 {
		return allowed
	}
	if !allowed.Limited {
		return regionsOf(o.HomeRegions)
	}
	both := RegionSet{Limited: true}
	for _, region := range r.HomeRegions {
		if slices.Contains(o.HomeRegions, region) {
			both.Names = append(both.Names, region)
		}
	}
	return both
}
