package config

import bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"

// Organisation returns the organisation with the name.
func (s *Snapshot) Organisation(name string) (*bronzeturnv1.Organisation, bool) {
	org, ok := s.organisations[name]
	return org, ok
}

// Kind returns the task kind with the name. The empty name means DefaultKind.
func (s *Snapshot) Kind(name string) (*bronzeturnv1.TaskKind, bool) {
	if name == "" {
		name = DefaultKind
	}
	kind, ok := s.kinds[name]
	return kind, ok
}

// Version returns the version with the name.
func (s *Snapshot) Version(name string) (*bronzeturnv1.Version, bool) {
	version, ok := s.versions[name]
	return version, ok
}

// VersionsOf returns the sorted names of the model's versions, nil if the model is
// unknown or has none. The slice is shared and must not be modified.
func (s *Snapshot) VersionsOf(model string) []string { return s.byModel[model] }

// VersionAllowed reports whether the register lets the organisation use the version.
// Withdrawals are not considered.
func (s *Snapshot) VersionAllowed(organisation, version string) bool {
	a, ok := s.access[organisation]
	return ok && a.allowed.has(version)
}

// AllowedVersions returns the sorted names of the versions that the register lets the
// organisation use, including withdrawn ones. The slice is shared and must not be
// modified.
func (s *Snapshot) AllowedVersions(organisation string) []string {
	a, ok := s.access[organisation]
	if !ok {
		return nil
	}
	return a.versions
}

// Withdrawal returns the withdrawal of the version, if there is one.
func (s *Snapshot) Withdrawal(version string) (*bronzeturnv1.Withdrawal, bool) {
	w, ok := s.withdrawals[version]
	return w, ok
}

// Engine returns the engine with the name.
func (s *Snapshot) Engine(name string) (*bronzeturnv1.Engine, bool) {
	engine, ok := s.engines[name]
	return engine, ok
}

// Engines returns the engines that serve the version according to the register,
// sorted by name. The slice is shared and must not be modified.
func (s *Snapshot) Engines(version string) []*bronzeturnv1.Engine { return s.byVersion[version] }

// Pool returns the pool with the name.
func (s *Snapshot) Pool(name string) (*bronzeturnv1.Pool, bool) {
	pool, ok := s.pools[name]
	return pool, ok
}

// PoolEngines returns the engines of the pool, sorted by name. The slice is shared
// and must not be modified.
func (s *Snapshot) PoolEngines(pool string) []*bronzeturnv1.Engine { return s.byPool[pool] }

// Service returns the plain service with the name.
func (s *Snapshot) Service(name string) (*bronzeturnv1.Service, bool) {
	service, ok := s.services[name]
	return service, ok
}

// ServiceAllowed reports whether the organisation may call the plain service.
func (s *Snapshot) ServiceAllowed(organisation, service string) bool {
	a, ok := s.access[organisation]
	return ok && a.services.has(service)
}

// Limit returns the limit of the organisation, if it has one.
func (s *Snapshot) Limit(organisation string) (*bronzeturnv1.Limit, bool) {
	limit, ok := s.limits[organisation]
	return limit, ok
}

// Rollout returns the roll-out that introduces the version, if there is one.
func (s *Snapshot) Rollout(version string) (*bronzeturnv1.Rollout, bool) {
	rollout, ok := s.rollouts[version]
	return rollout, ok
}
