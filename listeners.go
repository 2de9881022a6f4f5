package bronzeturn

import (
	"errors"
	"fmt"
	"net"
)

// listeners are the four separate entrances of a daemon.
type listeners struct {
	caller   net.Listener
	peer     net.Listener
	operator net.Listener
	admin    net.Listener
	// callerAddress and peerAddress are what others are told.
	callerAddress string
	peerAddress   string
}

// openListeners opens all of them, or none.
func openListeners(d *Daemon) (*listeners, error) {
	l := &listeners{}
	s := d.settings
	err := errors.Join(
		d.open(&l.caller, "caller-listen", s.GetCallerListen()),
		d.open(&l.peer, "peer-listen", s.GetPeerListen()),
		d.open(&l.operator, "operator-listen", s.GetOperatorListen()),
		d.open(&l.admin, "admin-listen", s.GetAdminListen()),
	)
	if err != nil {
		l.close()
		return nil, err
	}
	l.callerAddress = advertised(s.GetCallerAddress(), l.caller)
	l.peerAddress = advertised(s.GetPeerAddress(), l.peer)
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

func (d *Daemon) open(into *net.Listener, flag, address string) error {
	l, err := d.options.Listen(address)
	if err != nil {
		return &ListenError{Flag: flag, Address: address, Cause: err}
	}
	*into = l
	return nil
}

// advertised returns the address given in the settings, or the one listened on.
func advertised(address string, l net.Listener) string {
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
