package quality

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"
	"gopkg.in/tomb.v2"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1/bronzeturnv1connect"
)

// TablePrefix is the prefix of the keys of publications in the flooded table.
const TablePrefix = "quality/"

// Defaults of ExchangeOptions.
const (
	DefaultReportInterval  = 2 * time.Second
	DefaultPublishInterval = 30 * time.Second
	DefaultSettleTime      = 15 * time.Second
	DefaultReportTimeout   = time.Second
)

// maxReportCounts bounds the number of counts in an accepted report.
const maxReportCounts = 4096

// Table is the key-value table that daemons replicate by flooding. Of two entries
// for a key, the one with the higher version wins.
type Table interface {
	Publish(key string, version uint64, value []byte) error
	// Subscribe calls f with all current and future entries under a prefix. An
	// empty value means that there is no entry.
	Subscribe(prefix string, f func(key string, version uint64, value []byte))
}

// Owners selects the preferred aggregator of a key among the live daemons.
type Owners interface {
	Owner(key string) (name string, self bool)
}

// Dialer returns the client and the base URL for calls to a daemon.
type Dialer interface {
	Dial(name string) (client connect.HTTPClient, baseURL string, ok bool)
}

// ExchangeOptions configure an Exchange. Zero durations take the defaults.
type ExchangeOptions struct {
	// Name is the name of this daemon.
	Name string
	// Incarnation differs between any two runs of this daemon.
	Incarnation uint64
	Store       *Store
	Table       Table
	Owners      Owners
	Dialer      Dialer
	// OnMerged, if not nil, is called with the ratings that this daemon merges as
	// an aggregator.
	OnMerged func(c Counts, now time.Time)
	// ReportInterval is the time between two reports on a version.
	ReportInterval time.Duration
	// PublishInterval is the time between two publications of a version.
	PublishInterval time.Duration
	// SettleTime is the time after NewExchange during which the daemon does not
	// act as an aggregator, so that it receives the existing publications first.
	SettleTime time.Duration
	// ReportTimeout bounds one call to an aggregator.
	ReportTimeout time.Duration
	Log           zerolog.Logger
}

func (o ExchangeOptions) withDefaults() ExchangeOptions {
	defaults := []struct {
		field *time.Duration
		value time.Duration
	}{
		{&o.ReportInterval, DefaultReportInterval},
		{&o.PublishInterval, DefaultPublishInterval},
		{&o.SettleTime, DefaultSettleTime},
		{&o.ReportTimeout, DefaultReportTimeout},
	}
	for _, d := range defaults {
		if *d.field == 0 {
			*d.field = d.value
		}
	}
	if o.OnMerged == nil {
		o.OnMerged = func(Counts, time.Time) {}
	}
	return o
}

// Exchange shares ratings among daemons. Each version has one aggregator. The
// other daemons report their counts to it, and it publishes the merged evidence
// in the flooded table. Exchange implements
// bronzeturnv1connect.QualityServiceHandler.
type Exchange struct {
	options       ExchangeOptions
	tomb          tomb.Tomb
	aggregateFrom time.Time

	mu         sync.Mutex
	collectors map[string]*collector
}

var _ bronzeturnv1connect.QualityServiceHandler = (*Exchange)(nil)

// NewExchange returns an Exchange. Call Start to start its background work.
func NewExchange(o ExchangeOptions) *Exchange {
	o = o.withDefaults()
	return &Exchange{
		options:       o,
		aggregateFrom: time.Now().Add(o.SettleTime),
		collectors:    make(map[string]*collector),
	}
}

// Handler returns the path and the handler of the service for other daemons.
func (x *Exchange) Handler(options ...connect.HandlerOption) (path string, handler http.Handler) {
	return bronzeturnv1connect.NewQualityServiceHandler(x, options...)
}

// Start subscribes to the table and starts to report and publish periodically.
func (x *Exchange) Start() {
	x.options.Table.Subscribe(TablePrefix, x.onTableEntry)
	x.tomb.Go(func() error { return x.runEvery(x.options.ReportInterval, x.reportAll) })
	x.tomb.Go(func() error { return x.runEvery(x.options.PublishInterval, x.publishAll) })
}

// Stop stops the background work, waits for it, and then reports and publishes
// once more.
func (x *Exchange) Stop() error {
	x.tomb.Kill(nil)
	err := x.tomb.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), x.options.ReportTimeout)
	defer cancel()
	x.reportAll(ctx)
	x.publishAll(ctx)
	return err
}

// AddRating adds a rating to the local estimate immediately; the next report
// sends it to the aggregator.
func (x *Exchange) AddRating(e Rating) error {
	if err := x.options.Store.AddRating(e); err != nil {
		return err
	}
	x.collector(e.Version)
	return nil
}

func (x *Exchange) runEvery(interval time.Duration, f func(context.Context)) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-x.tomb.Dying():
			return nil
		case <-ticker.C:
			f(x.tomb.Context(context.Background()))
		}
	}
}

// reportAll sends the reports of all versions to their aggregators.
func (x *Exchange) reportAll(ctx context.Context) {
	var group sync.WaitGroup
	for _, c := range x.sortedCollectors() {
		group.Go(func() { x.reportVersion(ctx, c) })
	}
	group.Wait()
}

func (x *Exchange) reportVersion(ctx context.Context, c *collector) {
	owner, self := x.options.Owners.Owner(TablePrefix + c.version)
	if self {
		if x.mayAggregate() {
			x.notifyMerged(c.collectOwn(owner))
		}
		return
	}
	if owner == "" {
		return
	}
	for r := c.next(owner); r != nil; r = c.next(owner) {
		if !x.send(ctx, c, owner, r) {
			return
		}
	}
}

// send makes one attempt to deliver a report and reports whether it was answered.
func (x *Exchange) send(ctx context.Context, c *collector, owner string, r *report) bool {
	client, base, ok := x.options.Dialer.Dial(owner)
	if !ok {
		c.onNotMerged(r) // the address of the owner is not known yet
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, x.options.ReportTimeout)
	defer cancel()
	service := bronzeturnv1connect.NewQualityServiceClient(client, base)
	response, err := service.Report(ctx, connect.NewRequest(x.newRequest(c.version, r)))
	switch {
	case err == nil:
		c.onAnswer(r, &bronzeturnv1.Publisher{
			Aggregator: response.Msg.GetAggregator(), Publication: response.Msg.GetPublication(),
		})
	case notExecuted(err):
		c.onNotMerged(r)
	default:
		c.onNoAnswer(r)
		x.options.Log.Debug().Err(err).Str("version", c.version).Str("owner", owner).Msg("rating report not answered by the aggregator")
	}
	return err == nil
}

func (x *Exchange) newRequest(version string, r *report) *bronzeturnv1.ReportRequest {
	request := &bronzeturnv1.ReportRequest{
		Version: version, Origin: x.options.Name, Incarnation: x.options.Incarnation, Sequence: r.sequence,
		Promises: r.promises,
	}
	for _, n := range r.counts {
		request.Counts = append(request.Counts, &bronzeturnv1.RatingCounts{
			Organisation: n.Organisation, Kind: n.Kind, Accepted: n.Accepted, Sum: n.Sum, Weight: n.Weight,
		})
	}
	return request
}

// notExecuted reports whether a failed call was certainly not executed.
func notExecuted(err error) bool {
	var unconnected interface{ ConnectFailed() bool }
	if errors.As(err, &unconnected) && unconnected.ConnectFailed() {
		return true
	}
	return connect.CodeOf(err) == connect.CodeFailedPrecondition
}

// publishAll publishes the merged evidence of the versions that this daemon
// aggregates.
func (x *Exchange) publishAll(context.Context) {
	if !x.mayAggregate() {
		return
	}
	for _, c := range x.sortedCollectors() {
		if _, self := x.options.Owners.Owner(TablePrefix + c.version); self {
			x.publishVersion(c)
		}
	}
}

func (x *Exchange) publishVersion(c *collector) {
	revision, value, err := c.publish(time.Now())
	if err == nil && value != nil {
		err = x.options.Table.Publish(TablePrefix+c.version, revision, value)
	}
	if err != nil {
		x.options.Log.Warn().Err(err).Str("version", c.version).Msg("quality estimate not published")
	}
}

// onTableEntry processes a table entry. It ignores empty entries and foreign keys.
func (x *Exchange) onTableEntry(key string, revision uint64, value []byte) {
	version, ok := strings.CutPrefix(key, TablePrefix)
	if !ok || version == "" || len(value) == 0 {
		return
	}
	if _, err := x.collector(version).receive(revision, value, time.Now()); err != nil {
		x.options.Log.Warn().Err(err).Str("version", version).Msg("published quality estimate cannot be decoded")
	}
}

// Report implements bronzeturnv1connect.QualityServiceHandler.
func (x *Exchange) Report(_ context.Context, r *connect.Request[bronzeturnv1.ReportRequest]) (*connect.Response[bronzeturnv1.ReportResponse], error) {
	counts, err := parseCounts(r.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	if _, self := x.options.Owners.Owner(TablePrefix + r.Msg.GetVersion()); !self || !x.mayAggregate() {
		return nil, connect.NewError(connect.CodeFailedPrecondition, ErrNotAggregator)
	}
	c := x.collector(r.Msg.GetVersion())
	promise, isNew := c.merge(r.Msg, counts)
	if isNew {
		x.notifyMerged(counts)
	}
	return connect.NewResponse(&bronzeturnv1.ReportResponse{
		Aggregator: promise.GetAggregator(), Publication: promise.GetPublication(),
	}), nil
}

// parseCounts validates a report and returns its counts.
func parseCounts(r *bronzeturnv1.ReportRequest) ([]Counts, error) {
	if r.GetVersion() == "" || r.GetOrigin() == "" || len(r.GetCounts()) > maxReportCounts {
		return nil, ErrReport
	}
	counts := make([]Counts, 0, len(r.GetCounts()))
	for _, n := range r.GetCounts() {
		if !(moments{n.GetSum(), n.GetWeight()}).valid() {
			return nil, fmt.Errorf("%w: sum %v of %v ratings", ErrReport, n.GetSum(), n.GetWeight())
		}
		counts = append(counts, Counts{
			Organisation: n.GetOrganisation(), Version: r.GetVersion(), Kind: n.GetKind(), Accepted: n.GetAccepted(),
			Sum: n.GetSum(), Weight: n.GetWeight(),
		})
	}
	return counts, nil
}

func (x *Exchange) notifyMerged(counts []Counts) {
	now := time.Now()
	for _, n := range counts {
		x.options.OnMerged(n, now)
	}
}

func (x *Exchange) mayAggregate() bool { return !time.Now().Before(x.aggregateFrom) }

func (x *Exchange) collector(version string) *collector {
	x.mu.Lock()
	defer x.mu.Unlock()
	c, ok := x.collectors[version]
	if !ok {
		c = newCollector(version, x.options.Store, xxhash.Sum64String(x.options.Name)^x.options.Incarnation)
		x.collectors[version] = c
	}
	return c
}

// sortedCollectors returns the collectors, sorted by version.
func (x *Exchange) sortedCollectors() []*collector {
	x.mu.Lock()
	defer x.mu.Unlock()
	all := make([]*collector, 0, len(x.collectors))
	for _, c := range x.collectors {
		all = append(all, c)
	}
	slices.SortFunc(all, func(a, b *collector) int { return strings.Compare(a.version, b.version) })
	return all
}
