package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/bronzeturn/bronzeturn/security"
)

func newTraffic(t *testing.T) *Traffic {
	traffic, err := NewTraffic(nil)
	qt.Assert(t, err, qt.IsNil)
	return traffic
}

func startServer(t *testing.T, handler http.Handler, config *tls.Config) *Server {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	s := NewServer(listener, handler, config, newTraffic(t))
	s.Start()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		qt.Check(t, s.Stop(ctx), qt.IsNil)
	})
	return s
}

func call(ctx context.Context, d *Directory, address string) (string, error) {
	client, base := d.ClientAt(address)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/", strings.NewReader("question"))
	if err != nil {
		return "", err
	}
	response, err := client.Do(request)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return response.Proto + " " + string(body), err
}

var answer = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") })

func TestPlainTextCallsUseHTTP2AndAreCounted(t *testing.T) {
	s := startServer(t, answer, nil)
	registry := prometheus.NewRegistry()
	traffic, err := NewTraffic(registry)
	qt.Assert(t, err, qt.IsNil)
	d := NewDirectory(nil, nil, traffic)
	defer d.Close()
	got, err := call(t.Context(), d, s.Address())
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, got, qt.Equals, "HTTP/2.0 answer")
	in, out := traffic.Bytes()
	qt.Check(t, in > 0 && out > 0, qt.IsTrue)
	families, err := registry.Gather()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, families, qt.HasLen, 1)
	qt.Check(t, families[0].GetName(), qt.Equals, "bronzeturn_peer_bytes_total")
	qt.Check(t, families[0].GetMetric(), qt.HasLen, 2)
}

func TestPeersWithoutACertificateAreRefused(t *testing.T) {
	folder := t.TempDir()
	_, err := security.WriteDevelopment(folder, security.Development{Hosts: []string{"127.0.0.1"}, Start: time.Now(), Validity: time.Hour})
	qt.Assert(t, err, qt.IsNil)
	files := security.Files{
		Cert: filepath.Join(folder, "127.0.0.1-peer.pem"),
		Key:  filepath.Join(folder, "127.0.0.1-peer-key.pem"),
		CA:   filepath.Join(folder, "peer-ca.pem"),
	}
	credentials := loadCredentials(t, files)
	s := startServer(t, answer, credentials.Server())
	with := NewDirectory(nil, credentials, newTraffic(t))
	defer with.Close()
	got, err := call(t.Context(), with, s.Address())
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, got, qt.Equals, "HTTP/2.0 answer")

	without := NewDirectory(nil, loadCredentials(t, security.Files{CA: files.CA}), newTraffic(t))
	defer without.Close()
	_, err = call(t.Context(), without, s.Address())
	qt.Check(t, err, qt.IsNotNil)
}

func loadCredentials(t *testing.T, files security.Files) *security.Credentials {
	credentials, err := security.Load(files, nil)
	qt.Assert(t, err, qt.IsNil)
	return credentials
}

func TestRefusedConnectionIsADialError(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	address := listener.Addr().String()
	qt.Assert(t, listener.Close(), qt.IsNil)
	d := NewDirectory(nil, nil, newTraffic(t))
	_, err = call(t.Context(), d, address)
	qt.Check(t, IsDialError(err), qt.IsTrue, qt.Commentf("%v", err))
}

// TestConnectionThatGoesSilentIsDropped guards against reuse of a connection that no longer
// transfers data, while new connections to the same address work.
func TestConnectionThatGoesSilentIsDropped(t *testing.T) {
	s := startServer(t, answer, nil)
	r := startRelay(t, s.Address())
	d := NewDirectory(nil, nil, newTraffic(t))
	defer d.Close()
	_, err := call(t.Context(), d, r.address)
	qt.Assert(t, err, qt.IsNil)

	r.silence()
	_, err = call(t.Context(), d, r.address)
	qt.Assert(t, err, qt.IsNotNil)
	qt.Check(t, IsDialError(err), qt.IsFalse)
	got, err := call(t.Context(), d, r.address)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, got, qt.Equals, "HTTP/2.0 answer")
}

func TestUnaryCallGetsDefaultDeadline(t *testing.T) {
	seen := make(chan bool, 1)
	c := &boundedClient{client: &http.Client{Transport: roundTrip(func(r *http.Request) (*http.Response, error) {
		_, bounded := r.Context().Deadline()
		seen <- bounded
		return nil, errors.New("enough")
	})}}
	for contentType, want := range map[string]bool{"application/proto": true, "application/connect+proto": false} {
		request := httptest.NewRequest(http.MethodPost, "http://peer/", nil)
		request.RequestURI = ""
		request.Header.Set("Content-Type", contentType)
		_, err := c.Do(request)
		qt.Check(t, err, qt.IsNotNil)
		qt.Check(t, <-seen, qt.Equals, want, qt.Commentf("%s", contentType))
	}
}

func TestDialFailsForUnknownName(t *testing.T) {
	resolver := ResolverFunc(func(name string) (string, bool) { return "192.0.2.1:7", name == "known" })
	d := NewDirectory(resolver, nil, newTraffic(t))
	_, base, ok := d.Dial("known")
	qt.Check(t, ok, qt.IsTrue)
	qt.Check(t, base, qt.Equals, "http://192.0.2.1:7")
	_, _, ok = d.Dial("other")
	qt.Check(t, ok, qt.IsFalse)
}

type roundTrip func(*http.Request) (*http.Response, error)

func (f roundTrip) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// relay forwards bytes between clients and one target.
type relay struct {
	address string
	mu      sync.Mutex
	silent  []chan struct{}
}

func startRelay(t *testing.T, target string) *relay {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	r := &relay{address: listener.Addr().String()}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			server, err := net.Dial("tcp", target)
			if err != nil {
				return
			}
			t.Cleanup(func() { _, _ = client.Close(), server.Close() })
			silent := make(chan struct{})
			r.mu.Lock()
			r.silent = append(r.silent, silent)
			r.mu.Unlock()
			go copyBytes(client, server, silent)
			go copyBytes(server, client, silent)
		}
	}()
	return r
}

// silence discards all further bytes of the currently open connections.
func (r *relay) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, silent := range r.silent {
		close(silent)
	}
	r.silent = nil
}

func copyBytes(from, to net.Conn, silent chan struct{}) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		select {
		case <-silent:
		default:
			_, _ = to.Write(buffer[:n])
		}
	}
}
