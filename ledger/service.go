package ledger

import (
	"context"
	"errors"
	"net/http"
	"time"

	"connectrpc.com/connect"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1/bronzeturnv1connect"
)

// maxMessageBytes is the maximum size of a request from another daemon.
const maxMessageBytes = 1 << 20

// Handler returns the path and the handler of LedgerService, to be mounted on
// the listener for other daemons. The listener authenticates them.
func (l *Ledger) Handler(opts ...connect.HandlerOption) (string, http.Handler) {
	opts = append([]connect.HandlerOption{connect.WithReadMaxBytes(maxMessageBytes)}, opts...)
	return bronzeturnv1connect.NewLedgerServiceHandler(&service{l}, opts...)
}

// service handles calls from other daemons.
type service struct {
	ledger *Ledger
}

var (
	errFingerprint = errors.New("fingerprint or nonce has a wrong length")
	errWrongShard  = errors.New("record does not belong to the shard")
	errNoBody      = errors.New("record without body")
)

// Append implements bronzeturnv1connect.LedgerServiceHandler. It writes the
// records itself and never forwards them.
func (s *service) Append(ctx context.Context, req *connect.Request[bronzeturnv1.AppendRequest]) (*connect.Response[bronzeturnv1.AppendResponse], error) {
	target, err := s.ledger.shardByID(req.Msg.Shard)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	for _, rec := range req.Msg.Records {
		if err := checkRecord(rec); err != nil {
			return nil, connect.NewError(connect.CodeInvalidArgument, err)
		}
		if !s.ledger.inShard(rec, target.id) {
			return nil, connect.NewError(connect.CodeInvalidArgument, errWrongShard)
		}
	}
	if !target.awaitLoad(ctx) {
		return nil, connect.NewError(connect.CodeAborted, errLoading)
	}
	verdicts, err := target.submit(ctx, req.Msg.Records)
	if err != nil {
		return nil, connect.NewError(connectCode(err), err)
	}
	return connect.NewResponse(&bronzeturnv1.AppendResponse{Verdicts: verdicts}), nil
}

// Lookup implements bronzeturnv1connect.LedgerServiceHandler.
func (s *service) Lookup(ctx context.Context, req *connect.Request[bronzeturnv1.LookupRequest]) (*connect.Response[bronzeturnv1.LookupResponse], error) {
	fp, ok := toFingerprint(req.Msg.Fingerprint)
	if !ok {
		return nil, connect.NewError(connect.CodeInvalidArgument, errFingerprint)
	}
	target, err := s.ledger.shardFor(fp)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	entry, err := target.lookup(ctx, Class(req.Msg.Class), fp, req.Msg.Refresh)
	if err != nil {
		return nil, connect.NewError(connectCode(err), err)
	}
	return connect.NewResponse(&bronzeturnv1.LookupResponse{Entry: entry}), nil
}

func (l *Ledger) shardByID(id uint32) (*shard, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if int(id) >= len(l.shards) {
		return nil, errNotOpen
	}
	return l.shards[id], nil
}

// loadWait is how long Append waits for a shard to load before it tells the
// caller to retry.
const loadWait = 100 * time.Millisecond

// errLoading reports that the shard is being loaded. Nothing was written.
var errLoading = errors.New("shard is being read")

// awaitLoad waits up to loadWait for the shard to load, and reports whether it
// is ready.
func (s *shard) awaitLoad(ctx context.Context) bool {
	if s.log.ready() {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, loadWait)
	defer cancel()
	return s.refresh(ctx) == nil || s.log.ready()
}

// connectCode returns CodeResourceExhausted if this daemon is running and
// certainly did not write, and CodeUnavailable otherwise.
func connectCode(err error) connect.Code {
	var notWritten *NotWrittenError
	if errors.As(err, &notWritten) && !errors.Is(err, context.Canceled) && !errors.Is(err, ErrStopped) {
		return connect.CodeResourceExhausted
	}
	return connect.CodeUnavailable
}

// checkRecord rejects records that would corrupt a log.
func checkRecord(rec *bronzeturnv1.LedgerRecord) error {
	if len(rec.GetFingerprint()) != idBytes || len(rec.GetNonce()) != idBytes {
		return errFingerprint
	}
	if rec.Body == nil {
		return errNoBody
	}
	return nil
}

// inShard reports whether the record's key hashes to the shard.
func (l *Ledger) inShard(rec *bronzeturnv1.LedgerRecord, shard uint32) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return shardOf(fingerprint(rec.Fingerprint), l.layout.shards) == shard
}
