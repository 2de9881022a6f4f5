package gateway

import "github.com/bronzeturn/bronzeturn/route"

// ModelChoice picks the model size for requests that leave it open.
type ModelChoice struct{}

// NewModelChoice returns a choice.
func NewModelChoice() *ModelChoice { return &ModelChoice{} }

// First returns the model that a request is run on first.
func (m *ModelChoice) First(r *route.Route) string {
	if len(r.Models) == 0 {
		return ""
	}
	return r.Models[len(r.Models)-1]
}
