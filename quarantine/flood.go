package quarantine

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/gossip"
)

// TablePrefix is the prefix of the keys of crash reports in the gossip table.
const TablePrefix = "crash/"

// Bounds of crash reports in the gossip table.
const (
	maxTableReports     = 4096
	maxTableReportBytes = 16 << 10
	tableReportTTL      = 10 * time.Minute
)

// TableClass returns the class of crash reports in the gossip table.
func TableClass() gossip.Class {
	return gossip.Class{Prefix: TablePrefix, MaxEntries: maxTableReports, MaxValueBytes: maxTableReportBytes, TTL: tableReportTTL}
}

// RankKey returns the key by which daemons are ranked for writing the record of a request.
func RankKey(h Hash) string { return TablePrefix + h.String() }

// PublishWith returns a function for Options.Publish that publishes reports in the gossip
// table with publish. Keys are unique, so that a report does not replace an earlier one.
func PublishWith(self string, publish func(key string, version uint64, value []byte), log zerolog.Logger) func(*bronzeturnv1.CrashReport) {
	var reports atomic.Uint64
	return func(m *bronzeturnv1.CrashReport) {
		data, err := proto.Marshal(m)
		if err != nil {
			log.Error().Err(err).Msg("crash report not encoded")
			return
		}
		now := uint64(time.Now().UnixMilli())
		publish(fmt.Sprintf("%s%s/%d-%d", TablePrefix, self, now, reports.Add(1)), now, data)
	}
}

// ReceiveEntry applies a crash report from the gossip table. It ignores removed entries.
func (q *Quarantine) ReceiveEntry(key string, _ uint64, value []byte) {
	if len(value) == 0 {
		return
	}
	var m bronzeturnv1.CrashReport
	if err := proto.Unmarshal(value, &m); err != nil {
		q.Log.Warn().Err(err).Str("key", key).Msg("crash report not decoded")
		return
	}
	q.ApplyReport(&m, time.Now())
}

// DialWith returns a function for Options.Dial that opens TCP connections with dial and closes
// them.
func DialWith(dial func(ctx context.Context, network, address string) (net.Conn, error)) func(ctx context.Context, address string) error {
	return func(ctx context.Context, address string) error {
		conn, err := dial(ctx, "tcp", address)
		if err != nil {
			return err
		}
		return conn.Close()
	}
}
