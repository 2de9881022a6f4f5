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

// ownerRetry is how long a preferred writer that did not answer is left alone.
const ownerRetry = 2 * time.Second

// errVerdicts reports an answer that doesn't fit its question.
var errVerdicts = errors.New("preferred writer sent a wrong number of verdicts")

// ownerHealth remembers which daemons did not answer lately.
type ownerHealth struct {
	mu    sync.Mutex
	until map[string]time.Time
}

func newOwnerHealth() *ownerHealth {
	return &ownerHealth{until: make(map[string]time.Time)}
}

func (o *ownerHealth) usable(name string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	until, ok := o.until[name]
	if ok && time.Now().After(until) {
		delete(o.until, name)
		return true
	}
	return !ok
}

func (o *ownerHealth) failed(name string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.until[name] = time.Now().Add(ownerRetry)
}

// urgency tells what to do when the preferred writer lives but its store
// fails.
type urgency int

const (
	// urgent records are then written by this daemon, which may reach the store.
	urgent urgency = iota
	// patient records are then left for later.
	patient
)

// append settles one record, see appendAll.
func (l *Ledger) append(ctx context.Context, rec *bronzeturnv1.LedgerRecord) (*bronzeturnv1.LedgerVerdict, error) {
	if err := l.waitOpen(ctx); err != nil {
		return nil, &NotWrittenError{Cause: err}
	}
	s, err := l.shardFor(fingerprint(rec.Fingerprint))
	if err != nil {
		return nil, &NotWrittenError{Cause: err}
	}
	verdicts, err := l.appendAll(ctx, s.id, []*bronzeturnv1.LedgerRecord{rec}, urgent)
	if err != nil {
		return nil, err
	}
	return verdicts[0], nil
}

// appendAll settles records of one shard: by the preferred writer, else the
// second, else by this daemon itself. After a NotWrittenError none of them
// will be in the log; after another one each may be, now or later.
func (l *Ledger) appendAll(ctx context.Context, id uint32, records []*bronzeturnv1.LedgerRecord, u urgency) ([]*bronzeturnv1.LedgerVerdict, error) {
	s, err := l.shardByID(id)
	if err != nil {
		return nil, &NotWrittenError{Cause: err}
	}
	unsure := false // a writer that did not answer may have written
	for _, w := range l.writersOf(id) {
		verdicts, err := l.askOwner(ctx, w.client, id, records)
		if err == nil {
			l.metrics.forwarded.Add(float64(len(records)))
			return verdicts, nil
		}
		lives := ownerLives(err)
		unsure = unsure || !lives
		if ctx.Err() != nil || (lives && u == patient) {
			return nil, ownerError(w.name, err, unsure)
		}
		if !lives {
			l.owners.failed(w.name)
		}
		l.logger.Warn().Err(err).Uint32("shard", id).Str("writer", w.name).Msg("preferred writer did not settle")
	}
	verdicts, err := s.submit(ctx, records)
	var not *NotWrittenError
	if errors.As(err, &not) && unsure {
		return nil, not.Cause
	}
	return verdicts, err
}

// ownerLives tells that the preferred writer answered and did not write.
func ownerLives(err error) bool {
	code := connect.CodeOf(err)
	return connect.IsWireError(err) && (code == connect.CodeResourceExhausted || code == connect.CodeAborted)
}

func ownerError(name string, err error, unsure bool) error {
	err = fmt.Errorf("preferred writer %s: %w", name, err)
	if unsure {
		return err
	}
	return &NotWrittenError{Cause: err}
}

// loadingPause is how long to wait before a preferred writer that is reading
// its shard is asked again.
const loadingPause = 200 * time.Millisecond

// askOwner asks the preferred writer, again while it is reading the shard. Were
// the askers to read the shard themselves, its every change of hands would
// cost the store as many readings as there are daemons.
func (l *Ledger) askOwner(ctx context.Context, client bronzeturnv1connect.LedgerServiceClient, shard uint32, records []*bronzeturnv1.LedgerRecord) ([]*bronzeturnv1.LedgerVerdict, error) {
	for {
		verdicts, err := l.forwardTo(ctx, client, shard, records)
		if connect.CodeOf(err) != connect.CodeAborted || !connect.IsWireError(err) {
			return verdicts, err
		}
		timer := time.NewTimer(loadingPause/2 + l.jitter(loadingPause))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil, err
		}
	}
}

// writer is another daemon that may be asked to write.
type writer struct {
	name   string
	client bronzeturnv1connect.LedgerServiceClient
}

// writersOf returns the daemons to ask before this one writes itself, best
// first: none when this daemon is the preferred writer.
func (l *Ledger) writersOf(shard uint32) []writer {
	var writers []writer
	key := shardKey(shard)
	name, self := l.cfg.Owners.Owner(key)
	writers, more := l.addWriter(writers, name, self)
	seconds, ok := l.cfg.Owners.(SecondOwners)
	if !ok || !more {
		return writers
	}
	name, self = seconds.SecondOwner(key)
	writers, _ = l.addWriter(writers, name, self)
	return writers
}

// addWriter adds a daemon if it can be asked now. more is false when the name
// is this daemon's own, which need not ask anyone further.
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
		return nil, errVerdicts
	}
	return resp.Msg.Verdicts, nil
}

// lookup returns the entry of a fingerprint, or nil. What it finds is true; an
// entry that was created a moment ago may be missing unless refresh is set.
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
		if !ownerLives(err) {
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

// lookup reads the shard's state, from the store if it isn't in memory.
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
