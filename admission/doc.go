// Package admission decides which requests get in: it holds each
// organisation's limits over the whole fleet and lets requests wait for engine
// capacity by priority and in fair shares.
//
// A Controller runs on each daemon. Its hot path, Acquire, touches only memory
// of this process. The limit of an organisation is divided among the daemons
// by a coordinator, the daemon that the Owner option prefers for the limit
// shard of the organisation. Daemons report demand and usage to it and get
// shares that expire. Without a coordinator a daemon falls back to an equal
// part of the limit.
//
// Requests that got past the limits wait in the queue of their group, the
// engines of one pool that serve one version. A request that can't start in
// time is refused at once and told when to come back.
package admission
