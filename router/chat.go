package router

import (
	"context"
	"net/http"

	"github.com/uptrace/bunrouter"

	"github.com/bronzeturn/bronzeturn/callerapi"
	"github.com/bronzeturn/bronzeturn/config"
	"github.com/bronzeturn/bronzeturn/failure"
	"github.com/bronzeturn/bronzeturn/selection"
)

// serveChat answers a chat completion.
func (r *Router) serveChat(w http.ResponseWriter, req bunrouter.Request) error {
	return r.serve(w, req, r.prepareChat, r.runChat)
}

// prepareChat reads headers and body of a chat completion.
func (r *Router) prepareChat(req *http.Request, a *answer, c *call) *failure.Error {
	if f := r.prepareKind(req.Header, c, req.Header.Get(callerapi.HeaderKind)); f != nil {
		return f
	}
	body, f := r.readBody(c)
	if f != nil {
		return f
	}
	c.body = body
	if f := r.reserveCopies(c); f != nil {
		return f
	}
	c.content.Request = hashChat(c)
	c.chat, f = parseChat(body)
	if f != nil {
		return f
	}
	c.content.Shared = sharedMessages(c.organisation.GetName(), c.chat.fields["messages"])
	c.chat.prefixHash = prefixHash(c.organisation.GetName(), c.chat.fields["messages"])
	return nil
}

// prepareKind reads the headers that are common to all requests.
func (r *Router) prepareKind(h http.Header, c *call, name string) *failure.Error {
	kind, ok := c.tables.Snapshot.Kind(name)
	if !ok {
		return failure.New(failure.CodeUnknownKind, failure.RanNo, "the rules define no task kind of that name")
	}
	c.kind = kind
	var f *failure.Error
	if c.deadline, f = deadlineOf(h, kind, c.received); f != nil {
		return f
	}
	if c.priority, f = priorityOf(h, kind); f != nil {
		return f
	}
	if c.idempotencyKey, f = identifier(h, callerapi.HeaderIdempotencyKey); f != nil {
		return f
	}
	c.conversation, f = identifier(h, callerapi.HeaderConversation)
	return f
}

// runChat chooses a version for a chat completion, admits it, takes its claim and
// runs it.
func (r *Router) runChat(ctx context.Context, a *answer, c *call) *failure.Error {
	if f := c.requireKey(); f != nil {
		return f
	}
	decision, grant, f := r.chooseAdmitted(ctx, c)
	if f != nil {
		return f
	}
	defer grant.release()
	claim, f := r.claim(ctx, a, c, grant)
	if f != nil || claim.replayed {
		return f
	}
	return r.answerChat(ctx, a, c, &decision, grant, claim)
}

// requireKey refuses a non-idempotent request without an idempotency key, since a
// repeat by the caller could not be distinguished from a new request.
func (c *call) requireKey() *failure.Error {
	if c.idempotent() || c.idempotencyKey != "" {
		return nil
	}
	return failure.New(failure.CodeKeyRequired, failure.RanNo, "non-idempotent requests need the header %s", callerapi.HeaderIdempotencyKey)
}

// chooseVersion determines the version of the request: the one that its
// conversation is pinned to, or the choice of the policy.
func (r *Router) chooseVersion(ctx context.Context, c *call) (selection.Decision, *failure.Error) {
	if c.conversation == "" {
		return r.choose(c, c.chat.model)
	}
	org := c.organisation.GetName()
	version, ok, err := r.Ledger.PinnedVersion(ctx, org, c.conversation)
	if err != nil {
		return selection.Decision{}, failure.From(err)
	}
	if ok {
		return r.continueConversation(c, version)
	}
	return r.beginConversation(ctx, c)
}

// beginConversation chooses the version of a new conversation and pins it in the
// ledger. If a concurrent request pinned the conversation first, its version is
// used.
func (r *Router) beginConversation(ctx context.Context, c *call) (selection.Decision, *failure.Error) {
	decision, f := r.choose(c, c.chat.model)
	if f != nil {
		return decision, f
	}
	pinned, err := r.Ledger.PinVersion(ctx, pinRequest(c, decision.Version))
	if err != nil {
		return decision, failure.From(err)
	}
	if pinned.Version == decision.Version {
		return decision, nil
	}
	return r.continueConversation(c, pinned.Version)
}

// continueConversation keeps a conversation on its pinned version. It refuses the
// request if that version cannot be used, and never switches versions silently.
func (r *Router) continueConversation(c *call, version string) (selection.Decision, *failure.Error) {
	if f := checkUsable(c.tables.Snapshot, c.organisation.GetName(), version); f != nil {
		return selection.Decision{}, f
	}
	if f := matchesConstraint(c.tables.Snapshot, c.chat.model, version); f != nil {
		return selection.Decision{}, f
	}
	return r.choose(c, version)
}

// matchesConstraint refuses a request that names a model or version other than
// the one that its conversation runs on.
func matchesConstraint(s *config.Snapshot, constraint, version string) *failure.Error {
	if constraint == "" || constraint == version {
		return nil
	}
	if v, ok := s.Version(version); ok && v.GetModel() == constraint {
		return nil
	}
	return failure.New(failure.CodeVersionNotAllowed, failure.RanNo, "the conversation runs on %s", version)
}

// checkUsable returns a failure unless an organisation may send new work to a
// version.
func checkUsable(s *config.Snapshot, organisation, version string) *failure.Error {
	if !s.VersionAllowed(organisation, version) {
		return failure.New(failure.CodeVersionNotAllowed, failure.RanNo, "the organisation may not use this version")
	}
	if _, withdrawn := s.Withdrawal(version); withdrawn {
		return failure.New(failure.CodeVersionWithdrawn, failure.RanNo, "version %s is withdrawn", version)
	}
	return nil
}
