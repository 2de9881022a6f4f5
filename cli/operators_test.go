package cli

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/operator"
	"github.com/bronzeturn/bronzeturn/security"
	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/types/known/durationpb"
)

// fakeFleet is a fake of the data that a daemon serves to operators.
type fakeFleet struct {
	daemon *bronzeturnv1.DaemonStatus
	bills  []*bronzeturnv1.BillTotal
}

func (f *fakeFleet) Status(bool) *bronzeturnv1.DaemonStatus { return f.daemon }

func (f *fakeFleet) Names() []string { return []string{"h2"} }

func (f *fakeFleet) Dial(string) (connect.HTTPClient, string, bool) { return nil, "", false }

func (f *fakeFleet) Totals(context.Context, *bronzeturnv1.BillsRequest) ([]*bronzeturnv1.BillTotal, error) {
	return f.bills, nil
}

func newFakeFleet() *fakeFleet {
	return &fakeFleet{
		daemon: &bronzeturnv1.DaemonStatus{
			Name: "h1", DataCentre: "hall-centro", Health: bronzeturnv1.DaemonHealth_DAEMON_HEALTH_LIVE,
			GenerationInForce: 7, NewestAccepted: 7, NewsAge: durationpb.New(40 * time.Millisecond),
			Roles:      []*bronzeturnv1.Role{{Kind: bronzeturnv1.RoleKind_ROLE_KIND_LEDGER_WRITER, Parts: []string{"1", "2"}}},
			Neighbours: []*bronzeturnv1.Sighting{{Observer: "h1", Name: "h2", Health: bronzeturnv1.DaemonHealth_DAEMON_HEALTH_SUSPECTED}},
			Rejected: &bronzeturnv1.RejectedConfiguration{Generation: 8, Faults: []*bronzeturnv1.FieldFault{
				{Path: "rules.kinds[0].name", Message: "missing"},
			}},
			Engines: []*bronzeturnv1.EngineStatus{{Name: "e1", Health: bronzeturnv1.EngineHealth_ENGINE_HEALTH_EJECTED}},
		},
		bills: []*bronzeturnv1.BillTotal{{Organisation: "bici", Version: "diag@1", Bills: 3, CostMicros: 1_500_000}},
	}
}

// handler returns a handler of the operators' API.
func (f *fakeFleet) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(operator.NewServer(f, f, f).Handler())
	return mux
}

// servePlaintext serves h over HTTP/2 without TLS and returns the address.
func servePlaintext(t *testing.T, h http.Handler) string {
	t.Helper()
	server := httptest.NewUnstartedServer(h)
	server.Config.Protocols = new(http.Protocols)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func TestStatusAsJSONAndText(t *testing.T) {
	c := qt.New(t)
	address := servePlaintext(t, newFakeFleet().handler())
	got := run(t, "status", "--operator", address, "--insecure-plaintext", "--json")
	c.Assert(got.code, qt.Equals, ExitOK, qt.Commentf("%s", got.stderr))
	var status bronzeturnv1.StatusResponse
	c.Assert(protojson.Unmarshal([]byte(got.stdout), &status), qt.IsNil)
	c.Check(status.GetDaemons(), qt.HasLen, 2)
	c.Check(status.GetConfiguration().GetInForceOn(), qt.Equals, uint32(1))

	text := run(t, "status", "--operator", address, "--insecure-plaintext", "--engines").stdout
	for _, part := range []string{
		"generation 7, in force on 1 of 2", "ledger writer (2)", "40ms", "h2 did not answer", "h1: suspected",
		"h1 refused generation 8", "rules.kinds[0].name: missing", "e1 of -: ejected",
	} {
		c.Check(text, qt.Contains, part)
	}
}

func TestBillsAsJSONAndText(t *testing.T) {
	c := qt.New(t)
	address := servePlaintext(t, newFakeFleet().handler())
	got := run(t, "bills", "--operator", address, "--insecure-plaintext", "--json")
	c.Assert(got.code, qt.Equals, ExitOK, qt.Commentf("%s", got.stderr))
	var bills bronzeturnv1.BillsResponse
	c.Assert(protojson.Unmarshal([]byte(got.stdout), &bills), qt.IsNil)
	c.Check(bills.GetTotals()[0].GetCostMicros(), qt.Equals, uint64(1_500_000))
	text := run(t, "bills", "--operator", address, "--insecure-plaintext")
	c.Check(contains(text.stdout, "bici", "diag@1", "1.500000"), qt.IsTrue, qt.Commentf("%s", text.stdout))
	wrong := run(t, "bills", "--operator", address, "--insecure-plaintext", "--from=yesterday")
	c.Check(wrong.code, qt.Equals, ExitUsage)
}

func TestOperatorsAuthenticateWithCreatedCertificates(t *testing.T) {
	c := qt.New(t)
	directory := t.TempDir()
	created := run(t, "certs", directory, "--hosts", "127.0.0.1", "--json")
	c.Assert(created.code, qt.Equals, ExitOK, qt.Commentf("%s", created.stderr))
	var out certsOutput
	decode(t, created.stdout, &out)
	c.Check(out.Files, qt.HasLen, 14)

	path := func(name string) string { return filepath.Join(directory, name) }
	credentials, err := security.Load(security.Files{
		Cert: path("127.0.0.1-operator.pem"), Key: path("127.0.0.1-operator-key.pem"), CA: path("operator-ca.pem"),
	}, nil)
	c.Assert(err, qt.IsNil)
	server := httptest.NewUnstartedServer(newFakeFleet().handler())
	server.TLS = credentials.Server()
	server.EnableHTTP2 = true
	server.StartTLS()
	defer server.Close()
	address := server.Listener.Addr().String()

	args := []string{"status", "--operator", address, "--tls-ca", path("operator-ca.pem")}
	good := run(t, append(args, "--tls-cert", path("operator.pem"), "--tls-key", path("operator-key.pem"))...)
	c.Check(good.code, qt.Equals, ExitOK, qt.Commentf("%s", good.stderr))
	peer := run(t, append(args, "--tls-cert", path("127.0.0.1-peer.pem"), "--tls-key", path("127.0.0.1-peer-key.pem"))...)
	c.Check(peer.code, qt.Equals, ExitUnavailable, qt.Commentf("%s", peer.stderr))
	none := run(t, args...)
	c.Check(none.code, qt.Equals, ExitUsage)
}

func TestUnresponsiveDaemonIsUnavailable(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = l.Close() }()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	var stdout, stderr strings.Builder
	code := Run(ctx, []string{"status", "--operator", l.Addr().String(), "--insecure-plaintext"}, &stdout, &stderr, Commands{})
	qt.Check(t, code, qt.Equals, ExitUnavailable, qt.Commentf("%s", stderr.String()))
}
