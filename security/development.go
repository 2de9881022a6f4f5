package security

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"time"
)

// serialBits is the size of the random serial numbers.
const serialBits = 120

// clockTolerance is how long before Start the certificates are already valid, for
// hosts whose clocks are behind.
const clockTolerance = 5 * time.Minute

// Permissions of the directory and the files written.
const (
	directoryMode   = 0o755
	certificateMode = 0o644
	keyMode         = 0o600
)

// Roles of certificates. Each role has its own authority, so that a certificate for
// one listener is refused by the others.
const (
	rolePeer     = "peer"
	roleOperator = "operator"
	roleCaller   = "caller"
)

// ErrHostName reports a host that can't be used as a file name and as the subject of
// a certificate.
var ErrHostName = errors.New("host must be an IP address or a DNS name")

var hostPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9.:-]*$`)

// Development describes certificates for development and tests.
type Development struct {
	// Hosts are the IP addresses or DNS names of the daemons.
	Hosts []string
	// Start and Validity define the period in which the certificates are valid.
	Start    time.Time
	Validity time.Duration
}

// WriteDevelopment creates in directory an authority for each role (peer, operator,
// caller), a certificate of each authority for every host, and one client
// certificate for the operator. It returns the paths written. It never overwrites a
// file: it fails at the first one that exists.
func WriteDevelopment(directory string, d Development) ([]string, error) {
	for _, host := range d.Hosts {
		if !hostPattern.MatchString(host) {
			return nil, fmt.Errorf("%q: %w", host, ErrHostName)
		}
	}
	if err := os.MkdirAll(directory, directoryMode); err != nil {
		return nil, fmt.Errorf("create directory: %w", err)
	}
	w := &certificateWriter{directory: directory}
	for _, role := range []string{rolePeer, roleOperator, roleCaller} {
		if err := w.writeRole(role, d); err != nil {
			return w.paths, err
		}
	}
	return w.paths, nil
}

// certificateWriter writes certificates into a directory and records the paths.
type certificateWriter struct {
	directory string
	paths     []string
}

// writeRole writes the authority and the certificates of a role.
func (w *certificateWriter) writeRole(role string, d Development) error {
	authority, err := newAuthority("bronzeturn development "+role, d.Start, d.Validity)
	if err != nil {
		return err
	}
	if err := w.writePair(role+"-ca", authority); err != nil {
		return err
	}
	for _, host := range d.Hosts {
		pair, err := authority.issue(subject{name: host, hosts: []string{host}, server: true, client: role == rolePeer}, d.Start, d.Validity)
		if err != nil {
			return err
		}
		if err := w.writePair(host+"-"+role, pair); err != nil {
			return err
		}
	}
	if role != roleOperator {
		return nil
	}
	pair, err := authority.issue(subject{name: role, client: true}, d.Start, d.Validity)
	if err != nil {
		return err
	}
	return w.writePair(role, pair)
}

func (w *certificateWriter) writePair(name string, p *keyPair) error {
	key, err := x509.MarshalPKCS8PrivateKey(p.key)
	if err != nil {
		return fmt.Errorf("encode key: %w", err)
	}
	if err := w.createFile(name+".pem", "CERTIFICATE", p.certificate.Raw, certificateMode); err != nil {
		return err
	}
	return w.createFile(name+"-key.pem", "PRIVATE KEY", key, keyMode)
}

func (w *certificateWriter) createFile(name, kind string, content []byte, mode os.FileMode) error {
	path := filepath.Join(w.directory, name)
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return fmt.Errorf("create file: %w", err)
	}
	w.paths = append(w.paths, path)
	err = pem.Encode(file, &pem.Block{Type: kind, Bytes: content})
	return errors.Join(err, file.Close())
}

// keyPair is a certificate with its private key.
type keyPair struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// subject describes the holder of a certificate and its uses.
type subject struct {
	name           string
	hosts          []string
	server, client bool
}

func newAuthority(name string, start time.Time, validity time.Duration) (*keyPair, error) {
	template, err := newTemplate(name, start, validity)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.KeyUsage = x509.KeyUsageCertSign
	return signTemplate(template, nil)
}

// issue returns a certificate signed by the authority p.
func (p *keyPair) issue(s subject, start time.Time, validity time.Duration) (*keyPair, error) {
	template, err := newTemplate(s.name, start, validity)
	if err != nil {
		return nil, err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	if s.server {
		template.ExtKeyUsage = append(template.ExtKeyUsage, x509.ExtKeyUsageServerAuth)
	}
	if s.client {
		template.ExtKeyUsage = append(template.ExtKeyUsage, x509.ExtKeyUsageClientAuth)
	}
	for _, host := range s.hosts {
		if ip := net.ParseIP(host); ip != nil {
			template.IPAddresses = append(template.IPAddresses, ip)
			continue
		}
		template.DNSNames = append(template.DNSNames, host)
	}
	return signTemplate(template, p)
}

func newTemplate(name string, start time.Time, validity time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, fmt.Errorf("generate serial number: %w", err)
	}
	return &x509.Certificate{
		SerialNumber:          serial,
		Subject:               pkix.Name{CommonName: name},
		NotBefore:             start.Add(-clockTolerance),
		NotAfter:              start.Add(validity),
		BasicConstraintsValid: true,
	}, nil
}

// signTemplate generates a key and returns a certificate for it, signed by the
// authority, or self-signed if that is nil.
func signTemplate(template *x509.Certificate, authority *keyPair) (*keyPair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("generate key: %w", err)
	}
	parent, signer := template, key
	if authority != nil {
		parent, signer = authority.certificate, authority.key
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		return nil, fmt.Errorf("sign certificate: %w", err)
	}
	certificate, err := x509.ParseCertificate(raw)
	if err != nil {
		return nil, fmt.Errorf("parse certificate: %w", err)
	}
	return &keyPair{certificate: certificate, key: key}, nil
}
