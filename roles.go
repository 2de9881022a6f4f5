package bronzeturn

import (
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/orders"
	"github.com/bronzeturn/bronzeturn/quality"
)

// roles returns the fleet-wide tasks of which this daemon is the preferred owner now.
func (d *Daemon) roles() []*bronzeturnv1.Role {
	var roles []*bronzeturnv1.Role
	if d.fleet.members.IsWatcher() {
		roles = append(roles,
			&bronzeturnv1.Role{Kind: bronzeturnv1.RoleKind_ROLE_KIND_CONFIGURATION_WATCHER},
			&bronzeturnv1.Role{Kind: bronzeturnv1.RoleKind_ROLE_KIND_HOST_LIST_WATCHER},
		)
	}
	roles = appendRole(roles, bronzeturnv1.RoleKind_ROLE_KIND_LEDGER_WRITER, d.fleet.ledger.PreferredShards())
	tables := d.tables.Load()
	if tables == nil {
		return roles
	}
	limits := tables.Snapshot.Rules().GetLimits()
	roles = appendRole(roles, bronzeturnv1.RoleKind_ROLE_KIND_LIMIT_COORDINATOR, d.decisions.admission.CoordinatedOrganisations(limits))
	var versions, pools []string
	for _, v := range tables.Snapshot.Register().GetVersions() {
		versions = append(versions, v.GetName())
	}
	for _, p := range tables.Snapshot.Register().GetPools() {
		pools = append(pools, p.GetName())
	}
	roles = appendRole(roles, bronzeturnv1.RoleKind_ROLE_KIND_QUALITY_AGGREGATOR, d.ownedNames(quality.TablePrefix, versions))
	if d.orders != nil {
		roles = appendRole(roles, bronzeturnv1.RoleKind_ROLE_KIND_POOL_ORDERS, d.ownedNames(orders.KeyPrefix, pools))
	}
	return roles
}

// ownedNames returns the names for whose keys, prefix and name, this daemon is the
// preferred owner.
func (d *Daemon) ownedNames(prefix string, names []string) []string {
	var owned []string
	for _, name := range names {
		if _, self := d.fleet.members.Owner(prefix + name); self {
			owned = append(owned, name)
		}
	}
	return owned
}

// appendRole appends the role unless it covers no part.
func appendRole(roles []*bronzeturnv1.Role, kind bronzeturnv1.RoleKind, parts []string) []*bronzeturnv1.Role {
	if len(parts) == 0 {
		return roles
	}
	return append(roles, &bronzeturnv1.Role{Kind: kind, Parts: parts})
}
