// Package security provides the TLS configurations of the listeners and clients of
// daemons, operators and callers. Connections between peers and those of operators
// use mutual TLS, and each listener trusts only its own authorities.
//
// Certificates may be replaced while the process runs: changed files are reloaded at
// the next handshake. Established connections are not affected.
package security

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// checkInterval is the minimum time between two checks of the files for changes.
const checkInterval = time.Second

// Protocols offered by ALPN.
const (
	protocolHTTP2 = "h2"
	protocolHTTP1 = "http/1.1"
)

// ErrNoAuthority reports a CA file that contains no certificate.
var ErrNoAuthority = errors.New("no certificate found")

// FileError reports a certificate, key or CA file that can't be used. For an invalid
// key or one of another certificate, Path names the certificate.
type FileError struct {
	Path  string
	Cause error
}

// Error implements error.
func (e *FileError) Error() string { return fmt.Sprintf("TLS file %s: %v", e.Path, e.Cause) }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Cause }

// Files holds the paths of a certificate, its private key, and the authorities that
// the other side's certificate is verified with. All files are PEM.
type Files struct {
	Cert, Key, CA string
}

// PeerFiles returns the files for connections between daemons.
func PeerFiles(s *bronzeturnv1.Settings) Files {
	return Files{Cert: s.GetPeerTlsCert(), Key: s.GetPeerTlsKey(), CA: s.GetPeerTlsCa()}
}

// OperatorFiles returns the files of the operators' listener.
func OperatorFiles(s *bronzeturnv1.Settings) Files {
	return Files{Cert: s.GetOperatorTlsCert(), Key: s.GetOperatorTlsKey(), CA: s.GetOperatorTlsCa()}
}

// CallerFiles returns the files of the callers' listener.
func CallerFiles(s *bronzeturnv1.Settings) Files {
	return Files{Cert: s.GetCallerTlsCert(), Key: s.GetCallerTlsKey(), CA: s.GetCallerTlsCa()}
}

// Warnings returns a message for each insecure setting, to be logged at start.
func Warnings(s *bronzeturnv1.Settings) []string {
	var list []string
	if s.GetInsecurePlaintextPeers() {
		list = append(list, "peers talk in plain text without authentication")
	}
	if s.GetInsecurePlaintextOperators() {
		list = append(list, "operators talk in plain text without authentication")
	}
	if s.GetCallerTlsCert() == "" {
		list = append(list, "callers send their keys in plain text")
	}
	return list
}

// keyMaterial is the content of the files, as read at one time.
type keyMaterial struct {
	certificates []tls.Certificate
	authorities  *x509.CertPool
	modified     modTimes
}

// modTimes holds the modification times of the files.
type modTimes struct {
	cert, key, ca time.Time
}

// Credentials holds the certificate and authorities of one listener or client and
// reloads them when the files change. It is safe for concurrent use.
type Credentials struct {
	files    Files
	onReload func(error)

	mu      sync.Mutex
	current keyMaterial
	checked time.Time
}

// Load reads the files. With an empty Cert, clients present no certificate. With an
// empty CA, servers request none and clients trust the system's authorities.
//
// If onReload is not nil, it is called after each later reload: with nil if the new
// files are in use, or with an error if they are invalid and the previous ones stay
// in use.
func Load(files Files, onReload func(error)) (*Credentials, error) {
	if onReload == nil {
		onReload = func(error) {}
	}
	m, err := readFiles(files)
	if err != nil {
		return nil, err
	}
	return &Credentials{files: files, onReload: onReload, current: m, checked: time.Now()}, nil
}

// latest returns the key material, reloaded if the files have changed.
func (c *Credentials) latest() keyMaterial {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.checked) < checkInterval {
		return c.current
	}
	c.checked = time.Now()
	times, err := statFiles(c.files)
	if err == nil && times == c.current.modified {
		return c.current
	}
	m, err := readFiles(c.files)
	c.onReload(err)
	if err == nil {
		c.current = m
	}
	return c.current
}

func readFiles(files Files) (keyMaterial, error) {
	times, err := statFiles(files)
	if err != nil {
		return keyMaterial{}, err
	}
	m := keyMaterial{modified: times}
	if files.Cert != "" {
		certificate, err := tls.LoadX509KeyPair(files.Cert, files.Key)
		if err != nil {
			return keyMaterial{}, &FileError{Path: files.Cert, Cause: err}
		}
		m.certificates = []tls.Certificate{certificate}
	}
	if files.CA != "" {
		m.authorities, err = readAuthorities(files.CA)
	}
	return m, err
}

func readAuthorities(path string) (*x509.CertPool, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &FileError{Path: path, Cause: err}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, &FileError{Path: path, Cause: ErrNoAuthority}
	}
	return pool, nil
}

func statFiles(files Files) (modTimes, error) {
	var m modTimes
	times := []struct {
		path string
		time *time.Time
	}{{files.Cert, &m.cert}, {files.Key, &m.key}, {files.CA, &m.ca}}
	for _, t := range times {
		if t.path == "" {
			continue
		}
		info, err := os.Stat(t.path)
		if err != nil {
			return m, &FileError{Path: t.path, Cause: err}
		}
		*t.time = info.ModTime()
	}
	return m, nil
}
