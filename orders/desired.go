package orders

import (
	"slices"
	"time"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// DesiredState is what the configuration asks of one pool.
type DesiredState struct {
	// Generation is the configuration's.
	Generation uint64
	Engines    []Target
	// Grace is how long a version that is not wanted any more stays loaded for
	// the requests in progress on it. The longest deadline is enough.
	Grace time.Duration
}

// Target is what the configuration asks of one engine.
type Target struct {
	Name    string
	Address string
	// Versions are those to serve.
	Versions []string
	// Role is empty when any will do.
	Role string
}

// equal tells whether both ask the same of the same engine.
func (t Target) equal(o Target) bool {
	return t.Name == o.Name && t.Address == o.Address && t.Role == o.Role && slices.Equal(t.Versions, o.Versions)
}

// DesiredFromRegister returns the desired state of a pool's engines: the versions of
// the register without those withdrawn.
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
