package bronzeturn_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn"
	"github.com/bronzeturn/bronzeturn/demo"
	"github.com/bronzeturn/bronzeturn/examples"
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/operator"
	"github.com/bronzeturn/bronzeturn/peer"
	"github.com/bronzeturn/bronzeturn/security"
	"github.com/bronzeturn/bronzeturn/settings"
)

// loopback is the host of all daemons in these tests.
const loopback = "127.0.0.1"

// writeCertificates writes authorities and certificates of their own for one
// deployment and returns the folder.
func writeCertificates(c *qt.C) string {
	folder := c.TempDir()
	_, err := security.WriteDevelopment(folder, security.Development{
		Hosts: []string{loopback}, Start: time.Now(), Validity: time.Hour,
	})
	c.Assert(err, qt.IsNil)
	return folder
}

// filesOf returns the paths of the named certificate in folder, with the authority
// of the role in the folder trusted.
func filesOf(folder, trusted, name, role string) security.Files {
	return security.Files{
		Cert: filepath.Join(folder, name+".pem"),
		Key:  filepath.Join(folder, name+"-key.pem"),
		CA:   filepath.Join(trusted, role+"-ca.pem"),
	}
}

// tlsArguments returns the flags of a daemon that has the certificates in folder and
// trusts the authorities in trusted.
func tlsArguments(folder, trusted string) []string {
	var arguments []string
	for _, role := range []string{"peer", "operator"} {
		files := filesOf(folder, trusted, loopback+"-"+role, role)
		arguments = append(arguments,
			"--"+role+"-tls-cert", files.Cert, "--"+role+"-tls-key", files.Key, "--"+role+"-tls-ca", files.CA)
	}
	return arguments
}

// startDaemon starts a daemon, which is stopped when the test ends.
func startDaemon(c *qt.C, p *demo.Platform, log io.Writer, name string, seeds []string, arguments ...string) *bronzeturn.Daemon {
	const anyPort = loopback + ":0"
	s, err := settings.Parse(append([]string{
		"--name", name, "--data-centre", p.DataCentre(0),
		"--caller-listen", anyPort, "--peer-listen", anyPort,
		"--operator-listen", anyPort, "--admin-listen", anyPort,
		"--store-url", p.StoreURL, "--host-list-url", p.HostsURL,
		"--seeds", strings.Join(seeds, ","),
	}, arguments...), nil)
	c.Assert(err, qt.IsNil)
	d, err := bronzeturn.New(s, bronzeturn.Options{LogWriter: log})
	c.Assert(err, qt.IsNil)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- d.Run(ctx) }()
	c.Cleanup(func() {
		stop()
		c.Check(<-ended, qt.IsNil)
	})
	return d
}

// logBuffer is a writer that stores the log of a daemon.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write implements io.Writer.
func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

// waitFor waits for a line that contains the text and returns it, or "" after
// waitLimit.
func (l *logBuffer) waitFor(text string) string {
	deadline := time.Now().Add(waitLimit)
	for l.find(text) == "" && time.Now().Before(deadline) {
		time.Sleep(10 * time.Millisecond)
	}
	return l.find(text)
}

// find returns the first line that contains the text, or "".
func (l *logBuffer) find(text string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	for line := range strings.Lines(l.text.String()) {
		if strings.Contains(line, text) {
			return line
		}
	}
	return ""
}

// waitLive waits until a daemon is ready and knows at least that many live daemons.
func waitLive(c *qt.C, d *bronzeturn.Daemon, live int) {
	deadline := time.Now().Add(waitLimit)
	for !d.Ready() || d.LiveDaemons() < live {
		if time.Now().After(deadline) {
			c.Fatalf("the daemon knows %d live daemons, want %d; ready: %v", d.LiveDaemons(), live, d.Ready())
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// localStatus requests a daemon's own status at its peer listener.
func localStatus(credentials *security.Credentials, address string) (*bronzeturnv1.StatusResponse, error) {
	traffic, err := peer.NewTraffic(nil)
	if err != nil {
		return nil, err
	}
	directory := peer.NewDirectory(nil, credentials, traffic)
	defer directory.Close()
	client, base := directory.ClientAt(address)
	return fetchStatus(operator.NewClient(client, base), true)
}

func fetchStatus(client interface {
	Status(context.Context, *connect.Request[bronzeturnv1.StatusRequest]) (*connect.Response[bronzeturnv1.StatusResponse], error)
}, local bool) (*bronzeturnv1.StatusResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	response, err := client.Status(ctx, connect.NewRequest(&bronzeturnv1.StatusRequest{LocalOnly: local}))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

func loadCredentials(c *qt.C, files security.Files) *security.Credentials {
	credentials, err := security.Load(files, nil)
	c.Assert(err, qt.IsNil)
	return credentials
}

func TestDaemonsFormAFleetOnlyUnderOneAuthority(t *testing.T) {
	c := qt.New(t)
	p, err := demo.StartPlatform(examples.CampinaVerde, 4)
	c.Assert(err, qt.IsNil)
	c.Cleanup(p.Stop)
	c.Assert(p.Publish(context.Background()), qt.IsNil)
	good, other := writeCertificates(c), writeCertificates(c)

	log := &logBuffer{}
	first := startDaemon(c, p, log, demo.DaemonName(0), nil, tlsArguments(good, good)...)
	seeds := []string{first.PeerAddress()}
	stranger := startDaemon(c, p, io.Discard, demo.DaemonName(1), seeds, tlsArguments(other, good)...)
	plain := startDaemon(c, p, io.Discard, demo.DaemonName(2), seeds, "--insecure-plaintext-peers", "--insecure-plaintext-operators")
	second := startDaemon(c, p, io.Discard, demo.DaemonName(3), seeds, tlsArguments(good, good)...)
	waitLive(c, first, 2)
	waitLive(c, second, 2)

	peerFiles := filesOf(good, good, loopback+"-peer", "peer")
	_, err = localStatus(loadCredentials(c, peerFiles), first.PeerAddress())
	c.Assert(err, qt.IsNil)
	strangerFiles := filesOf(other, good, loopback+"-peer", "peer")
	_, err = localStatus(loadCredentials(c, strangerFiles), first.PeerAddress())
	c.Assert(err, qt.IsNotNil, qt.Commentf("a certificate of another authority was accepted"))
	_, err = localStatus(nil, first.PeerAddress())
	c.Assert(err, qt.IsNotNil, qt.Commentf("plain text was accepted although its flag is not set"))

	c.Assert(log.waitFor("TLS handshake error"), qt.Contains, `"listener":"peers"`)

	c.Assert(first.LiveDaemons(), qt.Equals, 2)
	c.Assert(stranger.LiveDaemons(), qt.Equals, 1)
	c.Assert(plain.LiveDaemons(), qt.Equals, 1)

	operatorURL := "https://" + first.OperatorAddress()
	dial := (&net.Dialer{}).DialContext
	transport := security.NewTransport(loadCredentials(c, filesOf(good, good, "operator", "operator")), dial)
	defer transport.CloseIdleConnections()
	all, err := fetchStatus(operator.NewClient(&http.Client{Transport: transport}, operatorURL), false)
	c.Assert(err, qt.IsNil)
	c.Assert(all.GetDaemons(), qt.HasLen, 2)
	anonymous := security.NewTransport(loadCredentials(c, security.Files{CA: filepath.Join(good, "operator-ca.pem")}), dial)
	defer anonymous.CloseIdleConnections()
	_, err = fetchStatus(operator.NewClient(&http.Client{Transport: anonymous}, operatorURL), false)
	c.Assert(err, qt.IsNotNil, qt.Commentf("a request of an operator without a certificate was accepted"))

	request := demo.Chat{Key: "key-dock-kiosks", Kind: "quick", Prompt: "lock of bike 7?", Stream: true}
	got := request.Send(context.Background(), http.DefaultClient, second.CallerAddress())
	c.Assert(got.Check(request), qt.IsNil)
}

func TestPlaintextRequiresItsFlag(t *testing.T) {
	c := qt.New(t)
	s, err := settings.Parse([]string{
		"--name", "daemon", "--data-centre", "d", "--store-url", "http://127.0.0.1:1", "--host-list-url", "http://127.0.0.1:1",
		"--caller-listen", loopback + ":0", "--peer-listen", loopback + ":0", "--operator-listen", loopback + ":0", "--admin-listen", loopback + ":0",
		"--insecure-plaintext-peers", "--insecure-plaintext-operators",
	}, nil)
	c.Assert(err, qt.IsNil)
	var plaintext *bronzeturn.PlaintextError
	s.InsecurePlaintextPeers = false
	_, err = bronzeturn.New(s, bronzeturn.Options{LogWriter: io.Discard})
	c.Assert(err, qt.ErrorAs, &plaintext)
	c.Assert(plaintext.Flag, qt.Equals, "insecure-plaintext-peers")
	s.InsecurePlaintextPeers, s.InsecurePlaintextOperators = true, false
	_, err = bronzeturn.New(s, bronzeturn.Options{LogWriter: io.Discard})
	c.Assert(err, qt.ErrorAs, &plaintext)
	c.Assert(plaintext.Flag, qt.Equals, "insecure-plaintext-operators")
}
