package cli

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"github.com/bronzeturn/bronzeturn/caller"
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/quarantine"
)

// quarantineTimeout is the time limit for a call, maxQuarantineBytes the size limit of its
// answer.
const (
	quarantineTimeout  = 5 * time.Second
	maxQuarantineBytes = 8 << 20
)

// quarantineCommand shows the requests in quarantine, or clears one.
type quarantineCommand struct {
	Daemon string `required:"" env:"BRONZETURN_ENTRY_ADMIN" help:"Address at which any entry daemon serves readiness or metrics, IP:PORT."`
	Clear  string `help:"Hash of the request to clear on all daemons. It is sent to engines again and may crash them." placeholder:"HASH"`
}

// Run implements the command.
func (c *quarantineCommand) Run(a *app) error {
	if _, _, err := net.SplitHostPort(c.Daemon); err != nil {
		return usage("--daemon must be IP:PORT")
	}
	if c.Clear != "" {
		return c.clear(a)
	}
	data, status, err := c.call(a.ctx, http.MethodGet, quarantine.Path)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return fmt.Errorf("daemon %s answered with status %d", c.Daemon, status)
	}
	list := &bronzeturnv1.QuarantineList{}
	if err := protojson.Unmarshal(data, list); err != nil {
		return fmt.Errorf("answer of %s: %w", c.Daemon, err)
	}
	if a.out.json {
		return a.out.message(list)
	}
	a.printQuarantine(list)
	return nil
}

// printQuarantine prints a table of the requests in quarantine.
func (a *app) printQuarantine(list *bronzeturnv1.QuarantineList) {
	if len(list.GetEntries()) == 0 {
		a.out.printf("nothing is in quarantine")
		return
	}
	var rows [][]string
	for _, e := range list.GetEntries() {
		holds := "one request"
		if e.GetShared() {
			holds = "all with this part"
		}
		if len(e.GetWith()) > 0 {
			holds += " and " + strings.Join(e.GetWith(), " and ")
		}
		rows = append(rows, []string{
			e.GetHash(), holds, e.GetService(), strings.Join(e.GetVersions(), ","), strings.Join(e.GetEngines(), ","),
			ageOf(e.GetFirstAgeMs()), ageOf(e.GetLastAgeMs()), strconv.FormatBool(e.GetTied()),
			strconv.FormatUint(uint64(e.GetRetriesLeft()), 10), e.GetDaemon(),
		})
	}
	a.out.table([]string{"hash", "holds", "service", "versions", "crashed", "first", "last", "tied", "retries left", "told by"}, rows)
}

// ageOf formats an age.
func ageOf(ms int64) string {
	return (time.Duration(ms) * time.Millisecond).Round(time.Second).String() + " ago"
}

// clear releases one request from quarantine.
func (c *quarantineCommand) clear(a *app) error {
	if _, ok := quarantine.ParseHash(c.Clear); !ok {
		return usage("--clear must be a hash as the list shows it")
	}
	_, status, err := c.call(a.ctx, http.MethodDelete, quarantine.Path+"/"+c.Clear)
	switch {
	case err != nil:
		return err
	case status == http.StatusNotFound:
		return fmt.Errorf("%s is not in quarantine", c.Clear)
	case status != http.StatusNoContent:
		return fmt.Errorf("daemon %s answered with status %d", c.Daemon, status)
	}
	a.out.printf("%s is cleared; it is sent to engines again", c.Clear)
	return nil
}

// call makes an HTTP call to the daemon and returns the body and status of its answer.
func (c *quarantineCommand) call(ctx context.Context, method, path string) ([]byte, int, error) {
	ctx, cancel := context.WithTimeout(ctx, quarantineTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.Daemon+path, nil)
	if err != nil {
		return nil, 0, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, 0, &caller.UnavailableError{Address: c.Daemon, Cause: err}
	}
	defer func() { _ = resp.Body.Close() }() // Read below.
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxQuarantineBytes))
	return data, resp.StatusCode, err
}
