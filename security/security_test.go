package security

import (
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	qt "github.com/frankban/quicktest"
)

const host = "127.0.0.1"

// writeDevelopment writes certificates into a new directory.
func writeDevelopment(t *testing.T, start time.Time) string {
	t.Helper()
	directory := t.TempDir()
	_, err := WriteDevelopment(directory, Development{Hosts: []string{host}, Start: start, Validity: time.Hour})
	qt.Assert(t, err, qt.IsNil)
	return directory
}

// filesOf returns the paths of the certificate named cert in directory, with the
// authority of role.
func filesOf(directory, cert, role string) Files {
	return Files{
		Cert: filepath.Join(directory, cert+".pem"),
		Key:  filepath.Join(directory, cert+"-key.pem"),
		CA:   filepath.Join(directory, role+"-ca.pem"),
	}
}

// startServer starts an HTTP/2 server with the files and returns its URL.
func startServer(t *testing.T, f Files) string {
	t.Helper()
	credentials, err := Load(f, nil)
	qt.Assert(t, err, qt.IsNil)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.Proto)
	}))
	server.TLS = credentials.Server()
	server.EnableHTTP2 = true
	server.Config.ErrorLog = log.New(io.Discard, "", 0)
	server.StartTLS()
	t.Cleanup(server.Close)
	return server.URL
}

// requestProtocol sends a request on a new connection and returns the protocol used.
func requestProtocol(t *testing.T, f Files, url string) (string, error) {
	t.Helper()
	credentials, err := Load(f, nil)
	qt.Assert(t, err, qt.IsNil)
	return requestProtocolWith(credentials, url)
}

// requestProtocolWith is requestProtocol with loaded credentials.
func requestProtocolWith(credentials *Credentials, url string) (string, error) {
	transport := NewTransport(credentials, (&net.Dialer{}).DialContext)
	defer transport.CloseIdleConnections()
	answer, err := (&http.Client{Transport: transport}).Get(url)
	if err != nil {
		return "", err
	}
	defer func() { _ = answer.Body.Close() }()
	protocol, err := io.ReadAll(answer.Body)
	return string(protocol), err
}

func TestHandshake(t *testing.T) {
	now := time.Now()
	good, other := writeDevelopment(t, now), writeDevelopment(t, now)
	expired := writeDevelopment(t, now.Add(-2*time.Hour))
	peer := host + "-peer"
	noCert := filesOf(good, peer, "peer")
	noCert.Cert, noCert.Key = "", ""
	expiredClient := filesOf(expired, peer, "peer")
	expiredClient.CA = filesOf(good, peer, "peer").CA
	otherClient := filesOf(other, peer, "peer")
	otherClient.CA = filesOf(good, peer, "peer").CA
	tests := []struct {
		name           string
		server, client Files
		accepted       bool
	}{
		{"peers with the same authority", filesOf(good, peer, "peer"), filesOf(good, peer, "peer"), true},
		{"operator with the operators' authority", filesOf(good, host+"-operator", "operator"), filesOf(good, "operator", "operator"), true},
		{"client without certificate", filesOf(good, peer, "peer"), noCert, false},
		{"client of another authority", filesOf(good, peer, "peer"), otherClient, false},
		{"expired client", filesOf(good, peer, "peer"), expiredClient, false},
		{"server of another authority", filesOf(other, peer, "peer"), filesOf(good, peer, "peer"), false},
		{"expired server", filesOf(expired, peer, "peer"), filesOf(expired, peer, "peer"), false},
		{"operator certificate at the peers' listener", filesOf(good, peer, "peer"), Files{Cert: filesOf(good, "operator", "").Cert, Key: filesOf(good, "operator", "").Key, CA: filesOf(good, "", "peer").CA}, false},
		{"server certificate used by a client", filesOf(good, host+"-operator", "operator"), filesOf(good, host+"-operator", "operator"), false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			protocol, err := requestProtocol(t, test.client, startServer(t, test.server))
			if test.accepted {
				qt.Assert(t, err, qt.IsNil)
				qt.Check(t, protocol, qt.Equals, "HTTP/2.0")
				return
			}
			qt.Check(t, err, qt.IsNotNil)
		})
	}
}

func TestOlderTLSIsRefused(t *testing.T) {
	directory := writeDevelopment(t, time.Now())
	f := filesOf(directory, host+"-peer", "peer")
	credentials, err := Load(f, nil)
	qt.Assert(t, err, qt.IsNil)
	config := credentials.Client(host)
	config.MinVersion, config.MaxVersion = 0, 0x0303
	transport := &http.Transport{TLSClientConfig: config}
	_, err = (&http.Client{Transport: transport}).Get(startServer(t, f))
	qt.Check(t, err, qt.IsNotNil)
}

func TestServerWithWrongHostNameIsRefused(t *testing.T) {
	directory := t.TempDir()
	_, err := WriteDevelopment(directory, Development{Hosts: []string{host, "10.9.9.9"}, Start: time.Now(), Validity: time.Hour})
	qt.Assert(t, err, qt.IsNil)
	url := startServer(t, filesOf(directory, "10.9.9.9-peer", "peer"))
	_, err = requestProtocol(t, filesOf(directory, host+"-peer", "peer"), url)
	qt.Check(t, err, qt.IsNotNil)
}

func TestPlainTextTransportUsesHTTP2(t *testing.T) {
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.Proto)
	}))
	server.Config.Protocols = new(http.Protocols)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	defer server.Close()
	protocol, err := requestProtocolWith(nil, server.URL)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, protocol, qt.Equals, "HTTP/2.0")
}

// replaceFiles overwrites the files of to with those of from and sets their
// modification times to newer.
func replaceFiles(t *testing.T, from, to Files, newer time.Time) {
	t.Helper()
	for _, paths := range [][2]string{{from.Cert, to.Cert}, {from.Key, to.Key}, {from.CA, to.CA}} {
		content, err := os.ReadFile(paths[0])
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, os.WriteFile(paths[1], content, 0o600), qt.IsNil)
		qt.Assert(t, os.Chtimes(paths[1], newer, newer), qt.IsNil)
	}
}

// forceFileCheck makes the next handshake check the files, regardless of
// checkInterval.
func forceFileCheck(c *Credentials) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checked = time.Time{}
}

func TestReplacedFilesAreUsedWithoutRestart(t *testing.T) {
	c := qt.New(t)
	peer := host + "-peer"
	first, second := filesOf(writeDevelopment(t, time.Now()), peer, "peer"), filesOf(writeDevelopment(t, time.Now()), peer, "peer")
	var reloads []error
	credentials, err := Load(first, func(err error) { reloads = append(reloads, err) })
	c.Assert(err, qt.IsNil)
	before, authorities := credentials.serverConfig().Certificates[0].Leaf, credentials.Client(host).RootCAs

	replaceFiles(t, second, first, time.Now().Add(time.Minute))
	forceFileCheck(credentials)
	after := credentials.serverConfig()
	c.Check(after.Certificates[0].Leaf.Equal(before), qt.IsFalse)
	c.Check(after.ClientCAs.Equal(authorities), qt.IsFalse)
	c.Check(credentials.Client(host).RootCAs.Equal(authorities), qt.IsFalse)
	c.Check(reloads, qt.DeepEquals, []error{nil})

	url := startServer(t, second)
	_, err = requestProtocolWith(credentials, url)
	c.Check(err, qt.IsNil)
}

func TestInvalidReplacementKeepsPreviousFiles(t *testing.T) {
	c := qt.New(t)
	f := filesOf(writeDevelopment(t, time.Now()), host+"-peer", "peer")
	var last error
	credentials, err := Load(f, func(err error) { last = err })
	c.Assert(err, qt.IsNil)
	before := credentials.serverConfig().Certificates[0].Leaf

	c.Assert(os.WriteFile(f.CA, []byte("half"), 0o600), qt.IsNil)
	later := time.Now().Add(time.Minute)
	c.Assert(os.Chtimes(f.CA, later, later), qt.IsNil)
	forceFileCheck(credentials)
	after := credentials.serverConfig()
	c.Check(after.Certificates[0].Leaf.Equal(before), qt.IsTrue)
	c.Check(after.ClientCAs, qt.IsNotNil)
	var fault *FileError
	c.Assert(errors.As(last, &fault), qt.IsTrue)
	c.Check(fault.Path, qt.Equals, f.CA)
	c.Check(errors.Is(last, ErrNoAuthority), qt.IsTrue)
}

func TestLoadErrorNamesTheInvalidFile(t *testing.T) {
	directory := writeDevelopment(t, time.Now())
	good := filesOf(directory, host+"-peer", "peer")
	wrongKey, noFile, noAuthority := good, good, good
	wrongKey.Key = filesOf(directory, "operator", "").Key
	noFile.Cert = filepath.Join(directory, "absent.pem")
	noAuthority.CA = good.Key
	for path, f := range map[string]Files{wrongKey.Cert: wrongKey, noFile.Cert: noFile, noAuthority.CA: noAuthority} {
		_, err := Load(f, nil)
		var fault *FileError
		qt.Assert(t, errors.As(err, &fault), qt.IsTrue)
		qt.Check(t, fault.Path, qt.Equals, path)
	}
}

func TestWriteDevelopmentDoesNotOverwriteFiles(t *testing.T) {
	c := qt.New(t)
	directory := writeDevelopment(t, time.Now())
	info, err := os.Stat(filepath.Join(directory, "peer-ca-key.pem"))
	c.Assert(err, qt.IsNil)
	c.Check(info.Mode().Perm(), qt.Equals, os.FileMode(keyMode))
	_, err = WriteDevelopment(directory, Development{Hosts: []string{host}, Start: time.Now(), Validity: time.Hour})
	c.Check(errors.Is(err, os.ErrExist), qt.IsTrue)
	_, err = WriteDevelopment(t.TempDir(), Development{Hosts: []string{"../x"}, Validity: time.Hour})
	c.Check(errors.Is(err, ErrHostName), qt.IsTrue)
}

func TestWarningsNameEachInsecureListener(t *testing.T) {
	qt.Check(t, Warnings(&bronzeturnv1.Settings{CallerTlsCert: "c"}), qt.HasLen, 0)
	qt.Check(t, Warnings(&bronzeturnv1.Settings{InsecurePlaintextPeers: true, InsecurePlaintextOperators: true}), qt.HasLen, 3)
}
