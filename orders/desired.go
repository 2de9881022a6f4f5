package orders

import (
	"slices"
	"time"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// DesiredState is the state that the configuration specifies for one pool.
type DesiredState struct {
	// Generation is the generation of the configuration.
	Generation uint64
	Engines    []Target
	// Grace is how long a version that is no longer desired stays loaded on a
	// busy engine, so that requests in progress can finish. The longest request
	// deadline suffices.
	Grace time.Duration
}

// Target is the desired state of one engine.
type Target struct {
	Name    string
	Address string
	// Versions are the versions to have loaded.
	Versions []string
	// Role is the desired role, or empty when any role is acceptable.
	Role string
}

// equal reports whether both are the same desired state of the same engine.
func (t Target) equal(o Target) bool {
	return t.Name == o.Name && t.Address == o.Address && t.Role == o.Role && slices.Equal(t.Versions, o.Versions)
}

// DesiredFromRegister returns the desired state of a pool's engines: the versions
// in the register, except withdrawn ones.
func DesiredFromRegister(generation uint64, engines []*bronzeturnv1.Engine, withdrawn func(version string) bool, grace time.Duration) DesiredState {
	d := DesiredState{Generation: generation, Grace: grace}
	for _, e := range engines {
		versions := slices.DeleteFunc(slices.Clone(e.GetVersions()), withdrawn)
		d.Engines = append(d.Engines, Target{
			Name:     e.GetName(),
			Address:  e.GetAddress(),
			Versions: versions,
		})
	}
	return d
}
