package bronzeturn

import (
	"crypto/tls"
	"fmt"

	"github.com/bronzeturn/bronzeturn/logging"
	"github.com/bronzeturn/bronzeturn/security"
)

// credentials holds the credentials of the listeners. Those for peers are also used
// for connections to other daemons. Nil means plain text.
type credentials struct {
	caller   *security.Credentials
	peer     *security.Credentials
	operator *security.Credentials
}

// PlaintextError reports a listener that has no certificates and would need plain
// text, while the flag that allows it is not set.
type PlaintextError struct {
	// Name is the listener's name, Flag the flag that allows plain text.
	Name, Flag string
}

// Error implements error.
func (e *PlaintextError) Error() string {
	return fmt.Sprintf("certificates for %s: certificate and authority must be given, or --%s", e.Name, e.Flag)
}

// loadCredentials loads the certificates that the settings name. Those for peers and
// operators are required unless the settings allow plain text.
func loadCredentials(d *Daemon) (*credentials, error) {
	c := &credentials{}
	var err error
	if files := security.CallerFiles(d.settings); files.Cert != "" {
		if c.caller, err = d.loadFiles("callers", files); err != nil {
			return nil, err
		}
	}
	if !d.settings.GetInsecurePlaintextPeers() {
		c.peer, err = d.loadMutualTLS("peers", "insecure-plaintext-peers", security.PeerFiles(d.settings))
		if err != nil {
			return nil, err
		}
	}
	if !d.settings.GetInsecurePlaintextOperators() {
		c.operator, err = d.loadMutualTLS("operators", "insecure-plaintext-operators", security.OperatorFiles(d.settings))
	}
	return c, err
}

// loadMutualTLS loads the files of a listener whose clients must authenticate as well.
func (d *Daemon) loadMutualTLS(name, flag string, files security.Files) (*security.Credentials, error) {
	if files.Cert == "" || files.CA == "" {
		return nil, &PlaintextError{Name: name, Flag: flag}
	}
	return d.loadFiles(name, files)
}

// loadFiles loads the files and logs each later reload.
func (d *Daemon) loadFiles(name string, files security.Files) (*security.Credentials, error) {
	log := logging.Part(d.log, "security")
	loaded, err := security.Load(files, func(err error) {
		if err != nil {
			log.Error().Err(err).Str("for", name).Msg("changed certificates could not be loaded; the previous ones stay in use")
			return
		}
		log.Info().Str("for", name).Msg("certificates reloaded")
	})
	if err != nil {
		return nil, fmt.Errorf("certificates for %s: %w", name, err)
	}
	return loaded, nil
}

// serverTLS returns the TLS configuration of a listener, or nil for plain text.
func serverTLS(c *security.Credentials) *tls.Config {
	if c == nil {
		return nil
	}
	return c.Server()
}
