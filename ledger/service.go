package ledger

import (
	"context"
	"errors"
	"net/http"

	"connectrpc.com/connect"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1/bronzeturnv1connect"
)

// maxMessageBytes bounds what a peer may send.
const maxMessageBytes = 1 << 20

// Handler returns the path and the handler of LedgerService, to be mounted on
// the listener for peers. The listener authenticates them.
func (l *Ledger) Handler(opts ...connect.HandlerOption) (string, http.Handler) {
	opts = append([]connect.HandlerOption{connect.WithReadMaxBytes(maxMessageBytes)}, opts...)
	return bronzeturnv1connect.NewLedgerServiceHandler(&service{l}, opts...)
}

// service answers the calls of other daemons.
type service struct {
	ledger *Ledger
}

var (
	errFingerprint = errors.New("fingerprint or nonce has a wrong length")
	errWrongShard  = errors.New("record does not belong to the shard")
	errNoBody      = errors.New("record without body")
)

// Append implements bronzeturnv1connect.LedgerServiceHandler. It never passes
// records on: whoever is asked writes.
func (s *service) Append(ctx context.Context, req *connect.Request[bronzeturnv1.AppendRequest]) (*connect.Response[bronzeturnv1.AppendResponse], error) {
	target, err := s.ledger.shardByID(req.Msg.Shard)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	for _, rec := range req.Msg.Records {
		if err := checkRecord(rec); err != nil {
			return nil, connect.NewError(connect.CodeInvalidArgument, err)
		}
		if !s.ledger.belongs(rec, target.id) {
			return nil, connect.NewError(connect.CodeInvalidArgument, errWrongShard)
		}
	}
	verdicts, err := target.submit(ctx, req.Msg.Records)
	if err != nil {
		return nil, connect.NewError(codeOf(err), err)
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
		return nil, connect.NewError(connect.CodeUnavailable, err)
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

// codeOf tells a live daemon whose store fails from one that does not answer.
func codeOf(err error) connect.Code {
	if errors.Is(err, ErrStoreFailing) || errors.Is(err, ErrQueueFull) {
		return connect.CodeResourceExhausted
	}
	return connect.CodeUnavailable
}

// checkRecord refuses what would damage a log.
func checkRecord(rec *bronzeturnv1.LedgerRecord) error {
	if len(rec.GetFingerprint()) != idBytes || len(rec.GetNonce()) != idBytes {
		return errFingerprint
	}
	if rec.Body == nil {
		return errNoBody
	}
	return nil
}

// belongs tells whether the record's key hashes to the shard.
func (l *Ledger) belongs(rec *bronzeturnv1.LedgerRecord, shard uint32) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return shardOf(fingerprint(rec.Fingerprint), l.layout.shards) == shard
}
