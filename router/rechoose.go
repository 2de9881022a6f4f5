package router

import (
	"context"

	"github.com/bronzeturn/bronzeturn/failure"
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/selection"
)

// maxFallbacks bounds the number of versions tried for one request beyond the first.
const maxFallbacks = 2

// chooseAdmitted chooses a version and admits the request to it. If the version has
// no capacity, it tries the next one that meets the quality target.
func (r *Router) chooseAdmitted(ctx context.Context, c *call) (selection.Decision, *grant, *failure.Error) {
	decision, f := r.chooseVersion(ctx, c)
	if f != nil {
		return decision, nil, f
	}
	for {
		g, refused := r.admit(ctx, c, decision)
		if refused == nil {
			return decision, g, nil
		}
		next, ok := r.chooseFallback(c, &decision, refused)
		if !ok {
			return decision, nil, refused
		}
		decision = next
	}
}

// chooseFallback chooses another version for a request that was refused for lack of
// capacity and certainly did not run. A conversation keeps its version, a version
// that the caller named is not replaced, and no version below the quality target is
// used instead. Bulk requests do not fall back to more expensive versions, since they
// can be sent again later.
func (r *Router) chooseFallback(c *call, d *selection.Decision, refused *failure.Error) (selection.Decision, bool) {
	if refused.Code != failure.CodeNoCapacity || refused.Ran != failure.RanNo {
		return selection.Decision{}, false
	}
	if c.priority == bronzeturnv1.Priority_PRIORITY_BULK {
		return selection.Decision{}, false
	}
	if c.conversation != "" || c.chat.model == d.Version || len(c.tried) == maxFallbacks {
		return selection.Decision{}, false
	}
	c.tried = append(c.tried, d.Version)
	next, f := r.choose(c, c.chat.model)
	belowTarget := next.Reason == selection.ReasonBestAvailable || next.Reason == selection.ReasonLastResort
	if f != nil || belowTarget {
		return selection.Decision{}, false
	}
	withRequestFields(r.Log.Info(), c).Strs("tried", c.tried).EmbedObject(&next).Msg("version chosen again")
	return next, true
}
