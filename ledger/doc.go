// Package ledger decides, for the whole fleet, which daemon was first: to claim
// a non-idempotent request, to pin the version of a conversation, or to bill a
// request. Each of these is a record identified by (organisation, class, key)
// that exactly one writer creates.
//
// Keys hash to shards. A shard is a log of batches in the object store. A batch
// is written by one conditional write at the next sequence number, so the store
// decides which writer was first. Each shard has a preferred writer, which
// batches the records of all daemons. This saves store calls; correctness does
// not depend on it.
//
// A record is settled when it is in the log, or when the log shows that it must
// not or need not be written. Records that must not be lost, such as bills,
// wait in the outbox until they are settled. If the store is slow, another
// daemon, the holder of the copy, keeps a copy of them.
//
// The design is in docs/design/0004-ledger.md.
package ledger
