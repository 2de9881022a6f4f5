package router

import (
	"context"

	"github.com/bronzeturn/bronzeturn/failure"
	"github.com/bronzeturn/bronzeturn/selection"
)

// maxRechoices bounds the versions tried for one request beyond the first.
const maxRechoices = 2

// chooseAdmitted chooses a version and admits the request to it. When the
// version has no room, the next one that reaches the target is tried.
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
		next, ok := r.chooseAgain(c, &decision, refused)
		if !ok {
			return decision, nil, refused
		}
		decision = next
	}
}

// chooseAgain chooses another version for a request that certainly did not run
// for want of capacity. A conversation keeps its version, a version that the
// caller named is not replaced, and none below the target is taken instead.
func (r *Router) chooseAgain(c *call, d *selection.Decision, refused *failure.Error) (selection.Decision, bool) {
	if refused.Code != failure.CodeNoCapacity || refused.Ran != failure.RanNo {
		return selection.Decision{}, false
	}
	if c.conversation != "" || c.chat.model == d.Version || len(c.tried) == maxRechoices {
		return selection.Decision{}, false
	}
	c.tried = append(c.tried, d.Version)
	next, f := r.choose(c, c.chat.model)
	belowTarget := next.Reason == selection.ReasonBestAvailable || next.Reason == selection.ReasonLastResort
	if f != nil || belowTarget {
		return selection.Decision{}, false
	}
	with(r.Log.Info(), c).Strs("tried", c.tried).EmbedObject(&next).Msg("version chosen again")
	return next, true
}
