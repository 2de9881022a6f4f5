package quarantine

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/inventory"
)

const (
	// Kind is the kind of the records in the store. There is one object for each request.
	Kind = "quarantine"
	// maxRetries is how many times a request may be sent to an engine after its verdict, over
	// the whole life of its record. Operators accept three further crashes; one of them is
	// reserved for sends in progress whose crash no daemon has detected.
	maxRetries = 2
	// minRetryInterval is the least time between two retries.
	minRetryInterval = 10 * time.Second
	// holdPeriod is the time after which a request may be retried although nothing has changed.
	holdPeriod = time.Hour
)

// Record keeps the requests that a verdict is on away from engines. It is stored in the object store.
type Record struct {
	Verdict
	// RetriesLeft is how many more times the request may be sent, Retried the time of the last
	// retry.
	RetriesLeft int
	Retried     time.Time
	// Daemon is the name of the daemon that wrote the record.
	Daemon string
	// Revision is the record's revision in the store.
	Revision uint64
}

// RecordError reports a record in the store that cannot be decoded.
type RecordError struct {
	Name  string
	Cause error
}

// Error implements error.
func (e *RecordError) Error() string { return fmt.Sprintf("record %s: %v", e.Name, e.Cause) }

func (e *RecordError) Unwrap() error { return e.Cause }

// key returns the key of a request's record in the store.
func key(h Hash) string { return Kind + "/" + h.String() }

// encode returns the record in the encoding of the store.
func (r *Record) encode() ([]byte, error) {
	return proto.Marshal(&bronzeturnv1.QuarantineRecord{
		Hash: r.Hash[:], Service: r.Service, Versions: r.Versions, Engines: r.Engines,
		FirstMs: r.First.UnixMilli(), LastMs: r.Last.UnixMilli(), Tied: r.Tied,
		RetriesLeft: uint32(r.RetriesLeft), RetriedMs: unixMillis(r.Retried), Daemon: r.Daemon,
		Shared: r.Shared, With: encodeHashes(r.With),
	})
}

// DecodeRecord decodes the record that the store has under the given name. Errors are of type
// *RecordError.
func DecodeRecord(name string, revision uint64, data []byte) (Record, error) {
	var m bronzeturnv1.QuarantineRecord
	if err := proto.Unmarshal(data, &m); err != nil {
		return Record{}, &RecordError{Name: name, Cause: err}
	}
	h, ok := ParseHash(name)
	if !ok || string(m.GetHash()) != string(h[:]) {
		return Record{}, &RecordError{Name: name, Cause: errNameMismatch}
	}
	return Record{
		Verdict: Verdict{
			Hash: h, With: decodeHashes(m.GetWith()), Shared: m.GetShared(), Service: m.GetService(), Versions: m.GetVersions(), Engines: m.GetEngines(),
			First: time.UnixMilli(m.GetFirstMs()), Last: time.UnixMilli(m.GetLastMs()), Tied: m.GetTied(),
		},
		RetriesLeft: int(m.GetRetriesLeft()), Retried: timeFromMillis(m.GetRetriedMs()), Daemon: m.GetDaemon(), Revision: revision,
	}, nil
}

var errNameMismatch = fmt.Errorf("the name is not the request's hash")

// unixMillis returns t in Unix milliseconds, 0 for the zero time.
func unixMillis(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

// timeFromMillis is the inverse of unixMillis.
func timeFromMillis(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms)
}

// encodeCrash encodes a crash for other daemons.
func encodeCrash(crash Crash) *bronzeturnv1.EndedEngine {
	m := &bronzeturnv1.EndedEngine{
		Id: crash.Engine.ID, StartedMs: unixMillis(crash.Engine.Started), Service: crash.Engine.Service,
		Version: crash.Engine.Version, Address: crash.Engine.Address,
	}
	for _, content := range crash.Requests {
		m.Requests = append(m.Requests, content.Request[:])
		m.Shared = append(m.Shared, &bronzeturnv1.SharedKeys{Keys: encodeHashes(content.Shared)})
	}
	return m
}

// decodeCrash decodes a crash that another daemon reported.
func decodeCrash(m *bronzeturnv1.EndedEngine, now time.Time) Crash {
	crash := Crash{
		Engine: inventory.Engine{
			ID: m.GetId(), Started: timeFromMillis(m.GetStartedMs()), Service: m.GetService(), Version: m.GetVersion(), Address: m.GetAddress(),
		},
		At: now, Cause: CauseReported,
	}
	for i, request := range decodeHashes(m.GetRequests()) {
		content := Content{Request: request}
		if i < len(m.GetShared()) { // Daemons of an earlier version do not send it.
			content.Shared = decodeHashes(m.GetShared()[i].GetKeys())
		}
		crash.Requests = append(crash.Requests, content)
	}
	return crash
}

func encodeHashes(hashes []Hash) [][]byte {
	list := make([][]byte, len(hashes))
	for i := range hashes {
		list[i] = hashes[i][:]
	}
	return list
}

// decodeHashes decodes hashes and skips those of a wrong length.
func decodeHashes(list [][]byte) []Hash {
	var hashes []Hash
	for _, data := range list {
		if h := (Hash{}); len(data) == len(h) {
			hashes = append(hashes, Hash(data))
		}
	}
	return hashes
}
