package bronzeturn

import (
	"crypto/tls"
	"fmt"

	"github.com/bronzeturn/bronzeturn/logging"
	"github.com/bronzeturn/bronzeturn/security"
)

// tlsConfigs are those of the listeners. Nil means plain text.
type tlsConfigs struct {
	caller   *tls.Config
	peer     *tls.Config
	operator *tls.Config
}

// newTLS reads the certificates named by the settings.
func newTLS(d *Daemon) (*tlsConfigs, error) {
	c := &tlsConfigs{}
	var err error
	if c.caller, err = d.serverTLS("callers", security.CallerFiles(d.settings)); err != nil {
		return nil, err
	}
	if !d.settings.GetInsecurePlaintextPeers() {
		if c.peer, err = d.serverTLS("peers", security.PeerFiles(d.settings)); err != nil {
			return nil, err
		}
	}
	if !d.settings.GetInsecurePlaintextOperators() {
		c.operator, err = d.serverTLS("operators", security.OperatorFiles(d.settings))
	}
	return c, err
}

// serverTLS returns the configuration of one listener, nil without files.
func (d *Daemon) serverTLS(name string, files security.Files) (*tls.Config, error) {
	if files.Cert == "" {
		return nil, nil
	}
	credentials, err := d.credentials(name, files)
	if err != nil {
		return nil, err
	}
	return credentials.Server(), nil
}

// credentials loads files and logs each later change of them.
func (d *Daemon) credentials(name string, files security.Files) (*security.Credentials, error) {
	log := logging.Part(d.log, "security")
	credentials, err := security.Load(files, func(err error) {
		if err != nil {
			log.Error().Err(err).Str("for", name).Msg("certificates not reloaded")
			return
		}
		log.Info().Str("for", name).Msg("certificates reloaded")
	})
	if err != nil {
		return nil, fmt.Errorf("certificates for %s: %w", name, err)
	}
	return credentials, nil
}
