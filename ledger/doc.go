// Package ledger settles, once and for all daemons, who was first: the claim
// of a non-idempotent request, the version of a conversation, the bill of a
// request. Each is a record under (organisation, class, key) that exactly one
// writer creates.
//
// Keys hash to shards. A shard is a log of batches in the object store. A batch
// is written by one conditional write at the next sequence number, so the
// store decides which writer was first. Each shard has a preferred writer,
// which batches the records of all daemons; the preference saves store calls
// and is never needed for safety. The design is in docs/design/0004-ledger.md.
package ledger
