package settings

import (
	"net/netip"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// contradictions returns the faults of settings that are right one by one.
func contradictions(s *bronzeturnv1.Settings) problems {
	var found problems
	checkTLS(&found, "peer", s.GetPeerTlsCert(), s.GetPeerTlsKey(), s.GetPeerTlsCa(),
		"insecure-plaintext-peers", s.GetInsecurePlaintextPeers())
	checkTLS(&found, "operator", s.GetOperatorTlsCert(), s.GetOperatorTlsKey(), s.GetOperatorTlsCa(),
		"insecure-plaintext-operators", s.GetInsecurePlaintextOperators())
	checkCallerTLS(&found, s)
	checkAdvertised(&found, "caller-address", s.GetCallerAddress(), "caller-listen", s.GetCallerListen())
	checkAdvertised(&found, "peer-address", s.GetPeerAddress(), "peer-listen", s.GetPeerListen())
	checkListeners(&found, s)
	return found
}

// checkTLS reports files that are missing, or given beside plain text.
func checkTLS(found *problems, who, cert, key, ca, plaintextFlag string, plaintext bool) {
	files := []struct{ flag, path string }{
		{who + "-tls-cert", cert},
		{who + "-tls-key", key},
		{who + "-tls-ca", ca},
	}
	for _, file := range files {
		switch {
		case plaintext && file.path != "":
			found.add(file.flag, "contradicts --%s", plaintextFlag)
		case !plaintext && file.path == "":
			found.add(file.flag, "must be given, or --%s", plaintextFlag)
		}
	}
}

func checkCallerTLS(found *problems, s *bronzeturnv1.Settings) {
	cert, key := s.GetCallerTlsCert(), s.GetCallerTlsKey()
	if cert == "" && key != "" {
		found.add("caller-tls-cert", "must be given with --caller-tls-key")
	}
	if key == "" && cert != "" {
		found.add("caller-tls-key", "must be given with --caller-tls-cert")
	}
	if s.GetCallerTlsCa() != "" && cert == "" && key == "" {
		found.add("caller-tls-ca", "needs --caller-tls-cert and --caller-tls-key")
	}
}

// checkAdvertised reports an address that must be given because the listener
// accepts on every address of the host.
func checkAdvertised(found *problems, flag, address, listenFlag, listen string) {
	a, err := netip.ParseAddrPort(listen)
	if address == "" && err == nil && a.Addr().IsUnspecified() {
		found.add(flag, "must be given when --%s names no single address", listenFlag)
	}
}

// checkListeners reports listeners that would collide.
func checkListeners(found *problems, s *bronzeturnv1.Settings) {
	listeners := []struct{ flag, listen string }{
		{"caller-listen", s.GetCallerListen()},
		{"peer-listen", s.GetPeerListen()},
		{"operator-listen", s.GetOperatorListen()},
		{"admin-listen", s.GetAdminListen()},
	}
	for i, one := range listeners {
		for _, other := range listeners[:i] {
			if collide(one.listen, other.listen) {
				found.add(one.flag, "is the same address as --%s", other.flag)
			}
		}
	}
}

func collide(one, other string) bool {
	a, errA := netip.ParseAddrPort(one)
	b, errB := netip.ParseAddrPort(other)
	if errA != nil || errB != nil || a.Port() == 0 || a.Port() != b.Port() {
		return false
	}
	return a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified()
}
