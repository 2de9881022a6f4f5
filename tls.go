package bronzeturn

import (
	"crypto/tls"
	"fmt"

	"github.com/bronzeturn/bronzeturn/logging"
	"github.com/bronzeturn/bronzeturn/security"
)

// credentials are those of the listeners, and of the client towards other
// daemons. Nil means plain text.
type credentials struct {
	caller   *security.Credentials
	peer     *security.Credentials
	operator *security.Credentials
}

// PlaintextError reports a listener that would talk plain text although the
// flag that allows it is not given.
type PlaintextError struct {
	// Name is the listener's, Flag the one that allows plain text.
	Name, Flag string
}

// Error implements error.
func (e *PlaintextError) Error() string {
	return fmt.Sprintf("certificates for %s: certificate and authority must be given, or --%s", e.Name, e.Flag)
}

// loadCredentials reads the certificates named by the settings. Peers and
// operators must authenticate unless the settings allow plain text.
func loadCredentials(d *Daemon) (*credentials, error) {
	c := &credentials{}
	var err error
	if files := security.CallerFiles(d.settings); files.Cert != "" {
		if c.caller, err = d.load("callers", files); err != nil {
			return nil, err
		}
	}
	if !d.settings.GetInsecurePlaintextPeers() {
		c.peer, err = d.loadMutual("peers", "insecure-plaintext-peers", security.PeerFiles(d.settings))
		if err != nil {
			return nil, err
		}
	}
	if !d.settings.GetInsecurePlaintextOperators() {
		c.operator, err = d.loadMutual("operators", "insecure-plaintext-operators", security.OperatorFiles(d.settings))
	}
	return c, err
}

// loadMutual loads files by which both sides authenticate.
func (d *Daemon) loadMutual(name, flag string, files security.Files) (*security.Credentials, error) {
	if files.Cert == "" || files.CA == "" {
		return nil, &PlaintextError{Name: name, Flag: flag}
	}
	return d.load(name, files)
}

// load reads files and logs each later change of them.
func (d *Daemon) load(name string, files security.Files) (*security.Credentials, error) {
	log := logging.Part(d.log, "security")
	loaded, err := security.Load(files, func(err error) {
		if err != nil {
			log.Error().Err(err).Str("for", name).Msg("certificates not reloaded")
			return
		}
		log.Info().Str("for", name).Msg("certificates reloaded")
	})
	if err != nil {
		return nil, fmt.Errorf("certificates for %s: %w", name, err)
	}
	return loaded, nil
}

// serverTLS returns the configuration of a listener, nil for plain text.
func serverTLS(c *security.Credentials) *tls.Config {
	if c == nil {
		return nil
	}
	return c.Server()
}
