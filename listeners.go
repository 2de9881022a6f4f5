package bronzeturn

import (
	"errors"
	"fmt"
	"net"
)

// listeners holds the four listeners of a daemon.
type listeners struct {
	caller   net.Listener
	peer     net.Listener
	operator net.Listener
	admin    net.Listener
	// callerAddress and peerAddress are the addresses advertised to callers and
	// to other daemons.
	callerAddress string
	peerAddress   string
}

// openListeners opens all listeners. On an error it leaves none open.
func openListeners(d *Daemon) (*listeners, error) {
	l := &listeners{}
	s := d.settings
	err := errors.Join(
		d.openListener(&l.caller, "caller-listen", s.GetCallerListen()),
		d.openListener(&l.peer, "peer-listen", s.GetPeerListen()),
		d.openListener(&l.operator, "operator-listen", s.GetOperatorListen()),
		d.openListener(&l.admin, "admin-listen", s.GetAdminListen()),
	)
	if err != nil {
		l.close()
		return nil, err
	}
	l.callerAddress = advertisedAddress(s.GetCallerAddress(), l.caller)
	l.peerAddress = advertisedAddress(s.GetPeerAddress(), l.peer)
	return l, nil
}

// ListenError reports a listener that could not be opened.
type ListenError struct {
	Flag    string
	Address string
	Cause   error
}

// Error implements error.
func (e *ListenError) Error() string {
	return fmt.Sprintf("--%s %s: %v", e.Flag, e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

func (d *Daemon) openListener(into *net.Listener, flag, address string) error {
	l, err := d.options.Listen(address)
	if err != nil {
		return &ListenError{Flag: flag, Address: address, Cause: err}
	}
	*into = l
	return nil
}

// advertisedAddress returns the address given in the settings or, if that is
// empty, the one listened on.
func advertisedAddress(address string, l net.Listener) string {
	if address != "" {
		return address
	}
	return l.Addr().String()
}

func (l *listeners) close() {
	for _, listener := range []net.Listener{l.caller, l.peer, l.operator, l.admin} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}
