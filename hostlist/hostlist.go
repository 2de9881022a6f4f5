// Package hostlist is the client of the platform's host list, which contains live
// and leaving hosts and may lag behind their actual state.
package hostlist

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"github.com/bronzeturn/bronzeturn/jsoncall"
)

// Path is the path of the host list.
const Path = "/v1/hosts"

// State is the state of a listed host.
type State string

// The states of listed hosts. A host that has left is no longer listed.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// The roles of hosts.
const (
	RoleEntry   = "entry"
	RoleBackend = "backend"
)

// Host is one listed host.
type Host struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	// Role is RoleEntry or RoleBackend.
	Role  string `json:"role"`
	State State  `json:"state"`
	// Revision is the list revision of the host's last change.
	Revision uint64 `json:"revision"`
}

// List is the host list at one revision, which increases with every change.
type List struct {
	Revision uint64 `json:"revision"`
	Hosts    []Host `json:"hosts"`
}

// DecodeError reports an invalid list.
type DecodeError struct {
	// Host is the index of the invalid entry, or -1 if the list cannot be decoded.
	Host  int
	Field string
	cause error
}

// Error implements error.
func (e *DecodeError) Error() string {
	return fmt.Sprintf("host list: hosts[%d].%s is invalid: %v", e.Host, e.Field, e.cause)
}

// Unwrap returns the cause, or nil.
func (e *DecodeError) Unwrap() error { return e.cause }

// Client reads the host list.
type Client struct {
	calls *jsoncall.Client
}

// New returns a Client for the host list at baseURL. A nil client means
// http.DefaultClient.
func New(baseURL string, client *http.Client) *Client {
	return &Client{calls: jsoncall.New(baseURL, client)}
}

// List reads the list. The error wraps a *jsoncall.Error if the call failed, and is a
// *DecodeError if the answer is not a valid list.
func (c *Client) List(ctx context.Context) (List, error) {
	var raw json.RawMessage
	if err := c.calls.Get(ctx, Path, &raw); err != nil {
		return List{}, fmt.Errorf("read host list: %w", err)
	}
	return Decode(raw)
}

// ListChanged returns the list, or false if its revision is still the known one. As
// most answers then contain no list, it suits callers that poll several times a
// second. The errors are those of List.
func (c *Client) ListChanged(ctx context.Context, known uint64) (List, bool, error) {
	var raw json.RawMessage
	changed, err := c.calls.GetIfChanged(ctx, Path, EntityTag(known), &raw)
	if err != nil {
		return List{}, false, fmt.Errorf("read host list: %w", err)
	}
	if !changed {
		return List{}, false, nil
	}
	list, err := Decode(raw)
	return list, err == nil, err
}

// EntityTag returns the entity tag of the list at a revision, "" for zero.
func EntityTag(revision uint64) string {
	if revision == 0 {
		return ""
	}
	return fmt.Sprintf("%q", strconv.FormatUint(revision, 10))
}

// Decode decodes a list. If any entry is invalid, the whole list is rejected. The error is a
// *DecodeError.
func Decode(data []byte) (List, error) {
	var list List
	if err := json.Unmarshal(data, &list); err != nil {
		return List{}, &DecodeError{Host: -1, Field: "", cause: err}
	}
	seen := make(map[string]bool, len(list.Hosts))
	for i, h := range list.Hosts {
		if field := invalidField(h, list.Revision, seen); field != "" {
			return List{}, &DecodeError{Host: i, Field: field}
		}
		seen[h.Name] = true
	}
	return list, nil
}

// invalidField returns the name of the first invalid field of h, or "".
func invalidField(h Host, revision uint64, seen map[string]bool) string {
	switch {
	case h.Name == "" || seen[h.Name]:
		return "name"
	case h.DataCentre == "":
		return "data_centre"
	case h.Role != RoleEntry && h.Role != RoleBackend:
		return "role"
	case h.State != StateLive && h.State != StateLeaving:
		return "state"
	case h.Revision > revision:
		return "revision"
	}
	return ""
}
