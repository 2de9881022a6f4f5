package route

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestRegionsOfRouteAndOrganisationAreIntersected(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		route, organisation []string
		allowed             map[string]bool
	}{
		{nil, nil, map[string]bool{"a": true, "b": true, "": true}},
		{[]string{"a"}, nil, map[string]bool{"a": true, "b": false, "": false}},
		{nil, []string{"a"}, map[string]bool{"a": true, "b": false}},
		{[]string{"a", "b"}, []string{"b", "c"}, map[string]bool{"a": false, "b": true, "c": false}},
		{[]string{"a"}, []string{"b"}, map[string]bool{"a": false, "b": false, "": false}},
	} {
		allowed := AllowedRegionsFor(&Route{HomeRegions: test.route}, &Organisation{HomeRegions: test.organisation})
		for region, want := range test.allowed {
			c.Check(allowed.Allows(region), qt.Equals, want, qt.Commentf("%v %v in %q", test.route, test.organisation, region))
		}
	}
	c.Check(AllowedRegionsFor(&Route{HomeRegions: []string{"a"}}, nil).Allows("b"), qt.IsFalse)
}
