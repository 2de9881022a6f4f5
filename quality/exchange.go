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

// TablePrefix begins the keys of published estimates in the flooded table.
const TablePrefix = "quality/"

// Defaults of ExchangeOptions.
const (
	DefaultReportInterval  = 2 * time.Second
	DefaultPublishInterval = 30 * time.Second
	DefaultSettleTime      = 15 * time.Second
	DefaultReportTimeout   = time.Second
)

// maxReportCounts bounds the counts of one report.
const maxReportCounts = 4096

// Table is the flooded table between daemons; the higher version wins.
type Table interface {
	Publish(key string, version uint64, value []byte) error
	// Subscribe calls f with all present and future entries under a prefix. An
	// empty value means that there is no entry.
	Subscribe(prefix string, f func(key string, version uint64, value []byte))
}

// Owners names the preferred aggregator of a key among the live daemons.
type Owners interface {
	Owner(key string) (name string, self bool)
}

// Dialer returns the client and the base URL for calls to a daemon.
type Dialer interface {
	Dial(name string) (client connect.HTTPClient, baseURL string, ok bool)
}

// ExchangeOptions configure an Exchange. Zero durations take the defaults.
type ExchangeOptions struct {
	// Name of this daemon.
	Name string
	// Incarnation differs between two runs of this daemon.
	Incarnation uint64
	Store       *Store
	Table       Table
	Owners      Owners
	Dialer      Dialer
	// OnMerged is called with the ratings that this daemon merges as an
	// aggregator. It may be nil.
	OnMerged func(c Counts, now time.Time)
	// ReportInterval is the time between two reports on a version.
	ReportInterval time.Duration
	// PublishInterval is the time between two publications of a version.
	PublishInterval time.Duration
	// SettleTime is how long after its start the daemon does not act as an
	// aggregator, so that it has heard the published estimates before.
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

// Exchange shares ratings among daemons: each version has one aggregator, the
// others report their counts to it, and it publishes merged estimates in the
// flooded table. It implements bronzeturnv1connect.QualityServiceHandler.
type Exchange struct {
	options ExchangeOptions
	tomb    tomb.Tomb
	ready   time.Time

	mu         sync.Mutex
	collectors map[string]*collector
}

var _ bronzeturnv1connect.QualityServiceHandler = (*Exchange)(nil)

// NewExchange returns an Exchange, which Start sets going.
func NewExchange(o ExchangeOptions) *Exchange {
	o = o.withDefaults()
	return &Exchange{
		options:    o,
		ready:      time.Now().Add(o.SettleTime),
		collectors: make(map[string]*collector),
	}
}

// Handler returns the path and the handler of the service towards other daemons.
func (x *Exchange) Handler(options ...connect.HandlerOption) (path string, handler http.Handler) {
	return bronzeturnv1connect.NewQualityServiceHandler(x, options...)
}

// Start subscribes to the table and begins to report and publish.
func (x *Exchange) Start() {
	x.options.Table.Subscribe(TablePrefix, x.receive)
	x.tomb.Go(func() error { return x.every(x.options.ReportInterval, x.report) })
	x.tomb.Go(func() error { return x.every(x.options.PublishInterval, x.publish) })
}

// Stop hands over what is left and waits until all work has ended.
func (x *Exchange) Stop() error {
	x.tomb.Kill(nil)
	err := x.tomb.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), x.options.ReportTimeout)
	defer cancel()
	x.report(ctx)
	x.publish(ctx)
	return err
}

// AddRating is the event of one rating: it counts at once in the local estimate,
// and is reported to the aggregator.
func (x *Exchange) AddRating(e Rating) error {
	if err := x.options.Store.AddRating(e); err != nil {
		return err
	}
	x.collector(e.Version)
	return nil
}

func (x *Exchange) every(interval time.Duration, f func(context.Context)) error {
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

// report hands the fresh ratings of all versions over.
func (x *Exchange) report(ctx context.Context) {
	var group sync.WaitGroup
	for _, c := range x.all() {
		group.Go(func() { x.reportVersion(ctx, c) })
	}
	group.Wait()
}

func (x *Exchange) reportVersion(ctx context.Context, c *collector) {
	owner, self := x.options.Owners.Owner(TablePrefix + c.version)
	if self {
		if x.settled() {
			x.judge(c.collect(owner))
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

// send makes one attempt and tells whether the report was answered.
func (x *Exchange) send(ctx context.Context, c *collector, owner string, r *report) bool {
	client, base, ok := x.options.Dialer.Dial(owner)
	if !ok {
		c.refused(r) // no address of the owner is known by now
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, x.options.ReportTimeout)
	defer cancel()
	service := bronzeturnv1connect.NewQualityServiceClient(client, base)
	response, err := service.Report(ctx, connect.NewRequest(x.request(c.version, r)))
	switch {
	case err == nil:
		c.answered(r, &bronzeturnv1.Publisher{
			Aggregator: response.Msg.GetAggregator(), Publication: response.Msg.GetPublication(),
		})
	case notRun(err):
		c.refused(r)
	default:
		c.lost(r)
		x.options.Log.Debug().Err(err).Str("version", c.version).Str("owner", owner).Msg("rating report unanswered")
	}
	return err == nil
}

func (x *Exchange) request(version string, r *report) *bronzeturnv1.ReportRequest {
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

// notRun tells whether a failed call was certainly not executed.
func notRun(err error) bool {
	var unconnected interface{ ConnectFailed() bool }
	if errors.As(err, &unconnected) && unconnected.ConnectFailed() {
		return true
	}
	return connect.CodeOf(err) == connect.CodeFailedPrecondition
}

// publish writes the merged estimates of the versions that this daemon
// aggregates to the table.
func (x *Exchange) publish(context.Context) {
	if !x.settled() {
		return
	}
	for _, c := range x.all() {
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
		x.options.Log.Warn().Err(err).Str("version", c.version).Msg("estimate not published")
	}
}

// receive takes over a table entry.
func (x *Exchange) receive(key string, revision uint64, value []byte) {
	version, ok := strings.CutPrefix(key, TablePrefix)
	if !ok || version == "" || len(value) == 0 {
		return
	}
	if _, err := x.collector(version).receive(revision, value, time.Now()); err != nil {
		x.options.Log.Warn().Err(err).Str("version", version).Msg("published estimate unreadable")
	}
}

// Report implements bronzeturnv1connect.QualityServiceHandler.
func (x *Exchange) Report(_ context.Context, r *connect.Request[bronzeturnv1.ReportRequest]) (*connect.Response[bronzeturnv1.ReportResponse], error) {
	counts, err := countsOf(r.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	if _, self := x.options.Owners.Owner(TablePrefix + r.Msg.GetVersion()); !self || !x.settled() {
		return nil, connect.NewError(connect.CodeFailedPrecondition, ErrNotAggregator)
	}
	c := x.collector(r.Msg.GetVersion())
	promise, isNew := c.merge(r.Msg, counts)
	if isNew {
		x.judge(counts)
	}
	return connect.NewResponse(&bronzeturnv1.ReportResponse{
		Aggregator: promise.GetAggregator(), Publication: promise.GetPublication(),
	}), nil
}

// countsOf validates the counts of a report.
func countsOf(r *bronzeturnv1.ReportRequest) ([]Counts, error) {
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

func (x *Exchange) judge(counts []Counts) {
	now := time.Now()
	for _, n := range counts {
		x.options.OnMerged(n, now)
	}
}

func (x *Exchange) settled() bool { return !time.Now().Before(x.ready) }

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

// all returns the collectors in the order of their versions.
func (x *Exchange) all() []*collector {
	x.mu.Lock()
	defer x.mu.Unlock()
	all := make([]*collector, 0, len(x.collectors))
	for _, c := range x.collectors {
		all = append(all, c)
	}
	slices.SortFunc(all, func(a, b *collector) int { return strings.Compare(a.version, b.version) })
	return all
}
