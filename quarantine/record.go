package quarantine

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/inventory"
)

const (
	// Kind is the kind of the records in the store, one object for each request.
	Kind = "quarantine"
	// lifeRetries is how many times a request may be sent to an engine after its
	// conviction, over the whole life of its record: operators allow three, and one is
	// kept for sends under way that no daemon saw crash an engine.
	lifeRetries = 2
	// retryPause is the least time between two of them.
	retryPause = 10 * time.Second
	// heldFor is the time after which a request may be sent again although nothing changed.
	heldFor = time.Hour
)

// Record keeps one request away from engines. It is what the store holds.
type Record struct {
	Verdict
	// RetriesLeft is how many times the request may be sent again, Retried when it was.
	RetriesLeft int
	Retried     time.Time
	// Daemon wrote the record.
	Daemon string
	// Revision is that of the store.
	Revision uint64
}

// RecordError reports a record of the store that cannot be read.
type RecordError struct {
	Name  string
	Cause error
}

// Error implements error.
func (e *RecordError) Error() string { return fmt.Sprintf("record %s: %v", e.Name, e.Cause) }

// Unwrap returns the cause.
func (e *RecordError) Unwrap() error { return e.Cause }

// key returns the record's key in the store.
func key(h Hash) string { return Kind + "/" + h.String() }

// encode returns the record as the store holds it.
func (r *Record) encode() ([]byte, error) {
	return proto.Marshal(&bronzeturnv1.QuarantineRecord{
		Hash: r.Hash[:], Service: r.Service, Versions: r.Versions, Engines: r.Engines,
		FirstMs: r.First.UnixMilli(), LastMs: r.Last.UnixMilli(), Tied: r.Tied,
		RetriesLeft: uint32(r.RetriesLeft), RetriedMs: millisOf(r.Retried), Daemon: r.Daemon,
	})
}

// DecodeRecord reads a record of the store under its name. The error is a *RecordError.
func DecodeRecord(name string, revision uint64, data []byte) (Record, error) {
	var m bronzeturnv1.QuarantineRecord
	if err := proto.Unmarshal(data, &m); err != nil {
		return Record{}, &RecordError{Name: name, Cause: err}
	}
	h, ok := ParseHash(name)
	if !ok || string(m.GetHash()) != string(h[:]) {
		return Record{}, &RecordError{Name: name, Cause: errName}
	}
	return Record{
		Verdict: Verdict{
			Hash: h, Service: m.GetService(), Versions: m.GetVersions(), Engines: m.GetEngines(),
			First: time.UnixMilli(m.GetFirstMs()), Last: time.UnixMilli(m.GetLastMs()), Tied: m.GetTied(),
		},
		RetriesLeft: int(m.GetRetriesLeft()), Retried: timeOf(m.GetRetriedMs()), Daemon: m.GetDaemon(), Revision: revision,
	}, nil
}

var errName = fmt.Errorf("the name is not the request's hash")

// millisOf returns Unix milliseconds, 0 for the zero time.
func millisOf(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

// timeOf is the reverse of millisOf.
func timeOf(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms)
}

// messageOf encodes an end for other daemons.
func messageOf(end End) *bronzeturnv1.EndedEngine {
	return &bronzeturnv1.EndedEngine{
		Id: end.Engine.ID, StartedMs: millisOf(end.Engine.Started), Service: end.Engine.Service,
		Version: end.Engine.Version, Address: end.Engine.Address, Requests: bytesOf(end.Requests),
	}
}

// endOf decodes an end that another daemon told.
func endOf(m *bronzeturnv1.EndedEngine, now time.Time) End {
	return End{
		Engine: inventory.Engine{
			ID: m.GetId(), Started: timeOf(m.GetStartedMs()), Service: m.GetService(), Version: m.GetVersion(), Address: m.GetAddress(),
		},
		Requests: hashesOf(m.GetRequests()), At: now, Cause: CauseTold,
	}
}

// bytesOf encodes hashes.
func bytesOf(hashes []Hash) [][]byte {
	list := make([][]byte, len(hashes))
	for i := range hashes {
		list[i] = hashes[i][:]
	}
	return list
}

// hashesOf decodes hashes. What is none is left out.
func hashesOf(list [][]byte) []Hash {
	var hashes []Hash
	for _, data := range list {
		if h := (Hash{}); len(data) == len(h) {
			hashes = append(hashes, Hash(data))
		}
	}
	return hashes
}
