// Package admission decides which requests may run. It enforces each
// organisation's limits across the whole fleet, and queues requests for engine
// capacity by priority and, within a priority, fairly by organisation.
//
// A Controller runs on each daemon. Its hot path, Acquire, touches only memory
// of this process. The limit of an organisation is divided among the daemons
// by a coordinator: the daemon that the Owner option names for the
// organisation's limit shard. Daemons report demand and usage to it and are
// granted shares that expire. Without a coordinator a daemon falls back to an
// equal part of the limit.
//
// Requests within the limits wait in the queue of their group: the engines of
// one pool that serve one version. A request that can't start in time is
// refused at once, with the time after which to retry.
package admission
