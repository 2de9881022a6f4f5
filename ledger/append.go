package ledger

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"connectrpc.com/connect"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1/bronzeturnv1connect"
)

// ownerRetryDelay is how long a preferred writer that did not answer is not
// called again.
const ownerRetryDelay = 2 * time.Second

// errVerdictMismatch reports an answer that does not fit the records it was
// asked about.
var errVerdictMismatch = errors.New("verdicts do not match the records")

// ownerHealth tracks the daemons that recently did not answer.
type ownerHealth struct {
	mu      sync.Mutex
	retryAt map[string]time.Time
}

func newOwnerHealth() *ownerHealth {
	return &ownerHealth{retryAt: make(map[string]time.Time)}
}

func (o *ownerHealth) usable(name string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	until, ok := o.retryAt[name]
	if ok && time.Now().After(until) {
		delete(o.retryAt, name)
		return true
	}
	return !ok
}

func (o *ownerHealth) failed(name string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.retryAt[name] = time.Now().Add(ownerRetryDelay)
}

// storeFailurePolicy selects what appendAll does when a preferred writer
// answers that it could not write.
type storeFailurePolicy int

const (
	// writeLocally tries the next writer and at last this daemon, which may
	// still reach the store.
	writeLocally storeFailurePolicy = iota
	// retryLater returns an error, and the caller tries again later.
	retryLater
)

// append settles one record; see appendAll.
func (l *Ledger) append(ctx context.Context, rec *bronzeturnv1.LedgerRecord) (*bronzeturnv1.LedgerVerdict, error) {
	if err := l.waitOpen(ctx); err != nil {
		return nil, &NotWrittenError{Cause: err}
	}
	s, err := l.shardFor(fingerprint(rec.Fingerprint))
	if err != nil {
		return nil, &NotWrittenError{Cause: err}
	}
	verdicts, err := l.appendAll(ctx, s.id, []*bronzeturnv1.LedgerRecord{rec}, writeLocally)
	if err != nil {
		return nil, err
	}
	return verdicts[0], nil
}

// appendAll settles records of one shard: through the preferred writer, else
// through the second owner, else by writing from this daemon. After a
// NotWrittenError none of the records will be in the log. After any other error
// each of them may be in the log, now or later.
func (l *Ledger) appendAll(ctx context.Context, id uint32, records []*bronzeturnv1.LedgerRecord, policy storeFailurePolicy) ([]*bronzeturnv1.LedgerVerdict, error) {
	s, err := l.shardByID(id)
	if err != nil {
		return nil, &NotWrittenError{Cause: err}
	}
	mayBeWritten := false // set once a writer did not answer, as it may have written
	for _, w := range l.writersOf(id) {
		verdicts, err := l.askOwner(ctx, w.client, id, records)
		if err == nil {
			l.metrics.forwarded.Add(float64(len(records)))
			return verdicts, nil
		}
		responded := ownerResponded(err)
		mayBeWritten = mayBeWritten || !responded
		if ctx.Err() != nil || (responded && policy == retryLater) {
			return nil, ownerError(w.name, err, mayBeWritten)
		}
		if !responded {
			l.owners.failed(w.name)
		}
		l.logger.Warn().Err(err).Uint32("shard", id).Str("writer", w.name).Msg("preferred writer did not settle")
	}
	verdicts, err := s.submit(ctx, records)
	var notWritten *NotWrittenError
	if errors.As(err, &notWritten) && mayBeWritten {
		return nil, notWritten.Cause
	}
	return verdicts, err
}

// ownerResponded reports whether the error shows that the preferred writer
// answered and did not write.
func ownerResponded(err error) bool {
	code := connect.CodeOf(err)
	return connect.IsWireError(err) && (code == connect.CodeResourceExhausted || code == connect.CodeAborted)
}

func ownerError(name string, err error, mayBeWritten bool) error {
	err = fmt.Errorf("preferred writer %s: %w", name, err)
	if mayBeWritten {
		return err
	}
	return &NotWrittenError{Cause: err}
}

// loadingRetryDelay is the mean delay before a preferred writer that is loading
// its shard is called again.
const loadingRetryDelay = 200 * time.Millisecond

// askOwner sends records to a preferred writer, and repeats the call while that
// daemon is loading the shard. If callers loaded the shard themselves instead,
// each change of preferred writer would cost as many loads from the store as
// there are daemons.
func (l *Ledger) askOwner(ctx context.Context, client bronzeturnv1connect.LedgerServiceClient, shard uint32, records []*bronzeturnv1.LedgerRecord) ([]*bronzeturnv1.LedgerVerdict, error) {
	for {
		verdicts, err := l.forwardTo(ctx, client, shard, records)
		if connect.CodeOf(err) != connect.CodeAborted || !connect.IsWireError(err) {
			return verdicts, err
		}
		timer := time.NewTimer(loadingRetryDelay/2 + l.jitter(loadingRetryDelay))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil, err
		}
	}
}

// writer is another daemon that can be asked to write.
type writer struct {
	name   string
	client bronzeturnv1connect.LedgerServiceClient
}

// writersOf returns the daemons to ask before this one writes itself, in order
// of preference. The list is empty if this daemon is the preferred writer.
func (l *Ledger) writersOf(shard uint32) []writer {
	var writers []writer
	key := shardKey(shard)
	name, self := l.cfg.Owners.Owner(key)
	writers, more := l.addWriter(writers, name, self)
	second, ok := l.cfg.Owners.(SecondOwners)
	if !ok || !more {
		return writers
	}
	name, self = second.SecondOwner(key)
	writers, _ = l.addWriter(writers, name, self)
	return writers
}

// addWriter adds the named daemon if it can be asked now. more is false if the
// name is this daemon's own; no further writer is then needed.
func (l *Ledger) addWriter(writers []writer, name string, self bool) (_ []writer, more bool) {
	if self || name == "" {
		return writers, !self
	}
	if !l.owners.usable(name) {
		return writers, true
	}
	if client, ok := l.dial(name); ok {
		writers = append(writers, writer{name, client})
	}
	return writers, true
}

func (l *Ledger) dial(name string) (bronzeturnv1connect.LedgerServiceClient, bool) {
	httpClient, baseURL, ok := l.cfg.Dialer.Dial(name)
	if !ok {
		return nil, false
	}
	noCompression := connect.WithAcceptCompression("gzip", nil, nil) // hashes don't compress
	return bronzeturnv1connect.NewLedgerServiceClient(httpClient, baseURL, noCompression), true
}

func (l *Ledger) forwardTo(ctx context.Context, client bronzeturnv1connect.LedgerServiceClient, shard uint32, records []*bronzeturnv1.LedgerRecord) ([]*bronzeturnv1.LedgerVerdict, error) {
	ctx, cancel := context.WithTimeout(ctx, l.cfg.OwnerTimeout)
	defer cancel()
	req := &bronzeturnv1.AppendRequest{Shard: shard, Records: records}
	resp, err := client.Append(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, err
	}
	if len(resp.Msg.Verdicts) != len(records) {
		return nil, errVerdictMismatch
	}
	return resp.Msg.Verdicts, nil
}

// lookup returns the entry of a fingerprint, or nil. An entry that it returns
// is correct, but a recently created one may be missing unless refresh is set.
func (l *Ledger) lookup(ctx context.Context, class Class, fp fingerprint, refresh bool) (*bronzeturnv1.LedgerEntry, error) {
	if err := l.waitOpen(ctx); err != nil {
		return nil, err
	}
	s, err := l.shardFor(fp)
	if err != nil {
		return nil, err
	}
	for _, w := range l.writersOf(s.id) {
		entry, err := l.lookupAt(ctx, w.client, class, fp, refresh)
		if err == nil || ctx.Err() != nil {
			return entry, err
		}
		if !ownerResponded(err) {
			l.owners.failed(w.name)
		}
		refresh = true
	}
	return s.lookup(ctx, class, fp, refresh)
}

func (l *Ledger) lookupAt(ctx context.Context, client bronzeturnv1connect.LedgerServiceClient, class Class, fp fingerprint, refresh bool) (*bronzeturnv1.LedgerEntry, error) {
	ctx, cancel := context.WithTimeout(ctx, l.cfg.OwnerTimeout)
	defer cancel()
	req := &bronzeturnv1.LookupRequest{
		Fingerprint: fp[:],
		Class:       bronzeturnv1.LedgerClass(class),
		Refresh:     refresh,
	}
	resp, err := client.Lookup(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, err
	}
	return resp.Msg.Entry, nil
}

// lookup returns an entry from the shard's state in memory, and reads the store
// first if the state is not loaded, may be stale, or refresh is set.
func (s *shard) lookup(ctx context.Context, class Class, fp fingerprint, refresh bool) (*bronzeturnv1.LedgerEntry, error) {
	if entry := s.log.lookup(class, fp); entry != nil && !refresh {
		return entry, nil
	}
	if refresh || !s.owned() || !s.log.ready() {
		if err := s.refresh(ctx); err != nil {
			return nil, err
		}
	}
	return s.log.lookup(class, fp), nil
}
