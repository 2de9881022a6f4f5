package cli

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/bronzeturn/bronzeturn/caller"
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1/bronzeturnv1connect"
	"github.com/bronzeturn/bronzeturn/operator"
	"github.com/bronzeturn/bronzeturn/security"
)

// Time limits of calls to the operators' API.
const (
	// statusTimeout is longer than the time that a daemon allows itself for asking all
	// other daemons.
	statusTimeout = 10 * time.Second
	// billsTimeout is long enough for reading the whole ledger from the store.
	billsTimeout = 2 * time.Minute
)

// operatorFlags name the daemon to call and the operator's credentials.
type operatorFlags struct {
	Operator  string `name:"operator" env:"BRONZETURN_OPERATOR" required:"" help:"Address of any daemon for operators, IP:PORT."`
	Cert      string `name:"tls-cert" env:"BRONZETURN_TLS_CERT" type:"path" help:"PEM file with the certificate of the operator."`
	Key       string `name:"tls-key" env:"BRONZETURN_TLS_KEY" type:"path" help:"PEM file with the private key of the certificate."`
	CA        string `name:"tls-ca" env:"BRONZETURN_TLS_CA" type:"path" help:"PEM file with the authorities of the daemons' certificates for operators."`
	Plaintext bool   `name:"insecure-plaintext" help:"Connect without TLS and authentication. Never use it in production."`
}

// client returns a client for the daemon of the flags.
func (f operatorFlags) client() (bronzeturnv1connect.OperatorServiceClient, error) {
	if _, _, err := net.SplitHostPort(f.Operator); err != nil {
		return nil, usage("--operator must be IP:PORT")
	}
	files := security.Files{Cert: f.Cert, Key: f.Key, CA: f.CA}
	switch {
	case f.Plaintext && files != (security.Files{}):
		return nil, usage("--insecure-plaintext can't be combined with --tls-cert, --tls-key or --tls-ca")
	case f.Plaintext:
		return newOperatorClient("http://"+f.Operator, nil), nil
	case f.Cert == "" || f.Key == "" || f.CA == "":
		return nil, usage("--tls-cert, --tls-key and --tls-ca must be given, or --insecure-plaintext")
	}
	credentials, err := security.Load(files, nil)
	if err != nil {
		return nil, err
	}
	return newOperatorClient("https://"+f.Operator, credentials), nil
}

func newOperatorClient(url string, credentials *security.Credentials) bronzeturnv1connect.OperatorServiceClient {
	client := &http.Client{Transport: security.NewTransport(credentials, caller.Dial)}
	return operator.NewClient(client, url)
}

// statusCommand shows the status of the daemons.
type statusCommand struct {
	operatorFlags
	Engines bool `help:"Also show the engines that each daemon knows."`
	Local   bool `help:"Show only the daemon that --operator names."`
}

// Run implements the command.
func (s statusCommand) Run(a *app) error {
	client, err := s.client()
	if err != nil {
		return err
	}
	request := &bronzeturnv1.StatusRequest{Engines: s.Engines, LocalOnly: s.Local}
	ctx, cancel := context.WithTimeout(a.ctx, statusTimeout)
	defer cancel()
	response, err := client.Status(ctx, connect.NewRequest(request))
	if err != nil {
		return fmt.Errorf("get status: %w", err)
	}
	if a.out.json {
		return a.out.message(response.Msg)
	}
	printStatus(a.out, response.Msg)
	return nil
}

func printStatus(out printer, status *bronzeturnv1.StatusResponse) {
	configuration := status.GetConfiguration()
	out.printf("configuration: generation %d, %s", configuration.GetGeneration(), operator.ProgressText(configuration))
	rows := make([][]string, 0, len(status.GetDaemons()))
	for _, d := range status.GetDaemons() {
		rows = append(rows, daemonRow(d))
	}
	out.table([]string{"NAME", "DATA CENTRE", "HEALTH", "IN FORCE", "NEWS AGE", "ROLES"}, rows)
	for _, d := range status.GetDaemons() {
		printDaemonNotes(out, d)
	}
}

func daemonRow(d *bronzeturnv1.DaemonStatus) []string {
	if d.GetHealth() == bronzeturnv1.DaemonHealth_DAEMON_HEALTH_UNREACHABLE {
		return []string{d.GetName(), orDash(d.GetDataCentre()), healthText(d.GetHealth()), "-", "-", "-"}
	}
	age := "-"
	if d.GetNewsAge() != nil {
		age = d.GetNewsAge().AsDuration().Round(time.Millisecond).String()
	}
	return []string{
		d.GetName(), orDash(d.GetDataCentre()), healthText(d.GetHealth()),
		fmt.Sprint(d.GetGenerationInForce()), age, rolesText(d.GetRoles()),
	}
}

// printDaemonNotes prints the details of a daemon that the table does not show.
func printDaemonNotes(out printer, d *bronzeturnv1.DaemonStatus) {
	if d.GetFault() != "" {
		out.printf("%s did not answer: %s", d.GetName(), d.GetFault())
	}
	for _, s := range d.GetSeenBy() {
		out.printf("  %s: %s, heartbeat %v ago, generation %d", s.GetObserver(), healthText(s.GetHealth()),
			s.GetHeartbeatAge().AsDuration().Round(time.Millisecond), s.GetGenerationInForce())
	}
	if rejected := d.GetRejected(); rejected != nil {
		out.printf("%s refused generation %d:", d.GetName(), rejected.GetGeneration())
		for _, fault := range rejected.GetFaults() {
			out.printf("  %s: %s", fault.GetPath(), fault.GetMessage())
		}
	}
	if len(d.GetEngines()) > 0 {
		out.printf("engines seen by %s:", d.GetName())
	}
	for _, e := range d.GetEngines() {
		out.printf("  %s of %s: %s, %d in flight", e.GetName(), orDash(e.GetPool()), engineText(e.GetHealth()), e.GetInFlight())
	}
}

func rolesText(roles []*bronzeturnv1.Role) string {
	texts := make([]string, len(roles))
	for i, role := range roles {
		texts[i] = enumText(role.GetKind().String(), "ROLE_KIND_")
		if n := len(role.GetParts()); n > 0 {
			texts[i] += fmt.Sprintf(" (%d)", n)
		}
	}
	return orDash(strings.Join(texts, ", "))
}

func healthText(h bronzeturnv1.DaemonHealth) string { return enumText(h.String(), "DAEMON_HEALTH_") }

func engineText(h bronzeturnv1.EngineHealth) string { return enumText(h.String(), "ENGINE_HEALTH_") }

// enumText returns the name of an enum value, without its prefix, as lower-case words.
func enumText(name, prefix string) string {
	return strings.ToLower(strings.ReplaceAll(strings.TrimPrefix(name, prefix), "_", " "))
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

// billsCommand shows totals of the bills.
type billsCommand struct {
	operatorFlags
	Organisation string `help:"Only this organisation."`
	From         string `placeholder:"DAY" help:"First day in UTC, as YYYY-MM-DD."`
	Through      string `placeholder:"DAY" help:"Last day in UTC, as YYYY-MM-DD."`
}

// Run implements the command.
func (b billsCommand) Run(a *app) error {
	client, err := b.client()
	if err != nil {
		return err
	}
	request := &bronzeturnv1.BillsRequest{Organisation: b.Organisation, FromDay: b.From, ThroughDay: b.Through}
	ctx, cancel := context.WithTimeout(a.ctx, billsTimeout)
	defer cancel()
	response, err := client.Bills(ctx, connect.NewRequest(request))
	if err != nil {
		return fmt.Errorf("get bills: %w", err)
	}
	if a.out.json {
		return a.out.message(response.Msg)
	}
	rows := make([][]string, 0, len(response.Msg.GetTotals()))
	for _, t := range response.Msg.GetTotals() {
		rows = append(rows, []string{
			t.GetOrganisation(), t.GetVersion(), orDash(t.GetDay()), fmt.Sprint(t.GetBills()),
			fmt.Sprint(t.GetPromptTokens()), fmt.Sprint(t.GetCompletionTokens()), money(t.GetCostMicros()),
		})
	}
	a.out.table([]string{"ORGANISATION", "VERSION", "DAY", "BILLS", "PROMPT TOKENS", "COMPLETION TOKENS", "COST"}, rows)
	return nil
}
