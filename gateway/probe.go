package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/bronzeturn/bronzeturn/attempt"
	"github.com/bronzeturn/bronzeturn/inventory"
	"github.com/bronzeturn/bronzeturn/liveness"
)

// prober asks engines whether they run still. It implements liveness.Prober.
type prober struct {
	codec     Codec
	tables    func() *Tables
	transport http.RoundTripper
}

var _ liveness.Prober = (*prober)(nil)

// maxReportBytes bounds the size of an engine's report.
const maxReportBytes = 64 << 10

// Probe implements liveness.Prober. An engine that another request is meant for refuses a probe that names it.
func (p *prober) Probe(ctx context.Context, e inventory.Engine, q liveness.Question) (r liveness.Reply, keeps bool, err error) {
	path := p.path(e.Service, q)
	if path == "" {
		return liveness.ReplyUnsupported, false, nil
	}
	header := make(http.Header)
	sent := Sent{Instance: e.ID}
	if deadline, ok := ctx.Deadline(); ok {
		sent.Left = time.Until(deadline)
	}
	p.codec.Apply(header, sent)
	x, err := attempt.Send(ctx, p.transport, attempt.Request{
		Method: http.MethodGet, URL: "http://" + e.Address + path, Host: e.Address, Header: header,
	})
	if err != nil {
		return "", false, err
	}
	defer func() { _ = x.Close() }() // The answer has been read or is not needed.
	receipt := p.codec.Receipt(x.Status, x.Header)
	switch {
	case receipt.Instance != "" || x.Status == http.StatusMisdirectedRequest:
		return liveness.ReplyOther, false, nil
	case q == liveness.QuestionReport && !receipt.NotRun:
		r = p.readReport(x, e)
	default:
		r = liveness.ReplyInstance
	}
	if x.Closes {
		return r, false, nil
	}
	x.Drain()
	return r, true, nil
}

// path returns the path of a question at the engines of a service, "" if they do not answer it.
func (p *prober) path(service string, q liveness.Question) string {
	tables := p.tables()
	if tables == nil || tables.Routes == nil {
		return ""
	}
	s, known := tables.Routes.Service(service)
	switch {
	case !known:
		return ""
	case q == liveness.QuestionReport:
		return s.ReportPath
	}
	return s.HealthPath
}

// readReport reads an engine's report.
func (p *prober) readReport(x *attempt.Exchange, e inventory.Engine) liveness.Reply {
	if x.Status != http.StatusOK {
		return liveness.ReplyUnsupported
	}
	body, err := io.ReadAll(io.LimitReader(x, maxReportBytes))
	if err != nil {
		return liveness.ReplyUnsupported
	}
	started, ok := p.codec.ReportedStart(body)
	switch {
	case !ok:
		return liveness.ReplyUnsupported
	case e.Started.IsZero() || started.IsZero():
		return liveness.ReplyInstance
	case !started.Equal(e.Started):
		return liveness.ReplyOther
	}
	return liveness.ReplyStart
}
