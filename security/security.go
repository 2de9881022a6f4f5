// Package security builds the TLS of the listeners and clients between daemons,
// operators and callers with the standard library. Peers and operators present
// certificates to each other; each listener trusts only its own authorities.
//
// Certificates may be replaced while the process runs: files that changed are
// read again at the next handshake. Established connections stay as they are.
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

// checkInterval bounds how often the files are looked at.
const checkInterval = time.Second

// protocolHTTP2 and protocolHTTP1 are the protocols offered by ALPN.
const (
	protocolHTTP2 = "h2"
	protocolHTTP1 = "http/1.1"
)

// ErrNoAuthority reports a file of authorities without a certificate.
var ErrNoAuthority = errors.New("no certificate found")

// FileError reports a certificate or key file that can't be used.
type FileError struct {
	Path  string
	Cause error
}

// Error implements error.
func (e *FileError) Error() string { return fmt.Sprintf("TLS file %s: %v", e.Path, e.Cause) }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Cause }

// Files are the paths of one certificate, its key, and the authorities that
// sign the other side. All are PEM.
type Files struct {
	Cert, Key, CA string
}

// PeerFiles returns the files used between daemons.
func PeerFiles(s *bronzeturnv1.Settings) Files {
	return Files{Cert: s.GetPeerTlsCert(), Key: s.GetPeerTlsKey(), CA: s.GetPeerTlsCa()}
}

// OperatorFiles returns the files used towards operators.
func OperatorFiles(s *bronzeturnv1.Settings) Files {
	return Files{Cert: s.GetOperatorTlsCert(), Key: s.GetOperatorTlsKey(), CA: s.GetOperatorTlsCa()}
}

// CallerFiles returns the files used towards callers.
func CallerFiles(s *bronzeturnv1.Settings) Files {
	return Files{Cert: s.GetCallerTlsCert(), Key: s.GetCallerTlsKey(), CA: s.GetCallerTlsCa()}
}

// Warnings returns what an operator should know about insecure settings, one
// short sentence each, to be logged at start.
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

// material is what one reading of the files gave.
type material struct {
	certificates []tls.Certificate
	authorities  *x509.CertPool
	modified     modified
}

// modified holds the modification times of the files.
type modified struct {
	cert, key, ca time.Time
}

// Credentials holds the certificate and authorities of one listener or client.
// It is safe for concurrent use.
type Credentials struct {
	files    Files
	onReload func(error)

	mu      sync.Mutex
	current material
	checked time.Time
}

// Load reads the files. An empty Cert gives a client without certificate, an
// empty CA a server that asks for none and a client that trusts the system's
// authorities. onReload, which may be nil, is told of each later reading: nil
// when new files are in use, an error when they can't be used and the old ones
// stay.
func Load(files Files, onReload func(error)) (*Credentials, error) {
	if onReload == nil {
		onReload = func(error) {}
	}
	m, err := read(files)
	if err != nil {
		return nil, err
	}
	return &Credentials{files: files, onReload: onReload, current: m, checked: time.Now()}, nil
}

// material returns what is in the files, read again if they changed.
func (c *Credentials) material() material {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.checked) < checkInterval {
		return c.current
	}
	c.checked = time.Now()
	times, err := stat(c.files)
	if err == nil && times == c.current.modified {
		return c.current
	}
	m, err := read(c.files)
	c.onReload(err)
	if err == nil {
		c.current = m
	}
	return c.current
}

func read(files Files) (material, error) {
	times, err := stat(files)
	if err != nil {
		return material{}, err
	}
	m := material{modified: times}
	if files.Cert != "" {
		certificate, err := tls.LoadX509KeyPair(files.Cert, files.Key)
		if err != nil {
			return material{}, &FileError{Path: files.Cert, Cause: err}
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

func stat(files Files) (modified, error) {
	var m modified
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
