package admission

import bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"

// CoordinatedOrganisations returns the organisations among the given limits
// whose limits this daemon coordinates now, for status pages.
func (c *Controller) CoordinatedOrganisations(limits []*bronzeturnv1.Limit) []string {
	var names []string
	for _, limit := range limits {
		name := limit.GetOrganisation()
		if _, self := c.options.Owner(shardKeys[shardOf(name)]); self {
			names = append(names, name)
		}
	}
	return names
}
