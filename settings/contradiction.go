package settings

import (
	"net/netip"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/overload"
)

// contradictions returns the faults of settings that are valid one by one but not
// together.
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
	checkHostLimits(&found, s)
	return found
}

// Limits of the settings for the memory of the process.
const (
	minMemoryBytes = 64 << 20
	// memoryPerBody is the memory of a process as a multiple of the largest body: the share that large
	// requests may use must hold one with all copies that are made of it.
	memoryPerBody = 10
)

// checkHostLimits reports limits that the process cannot work within.
func checkHostLimits(found *problems, s *bronzeturnv1.Settings) {
	if n := s.GetMemoryBytes(); n != 0 && n < minMemoryBytes {
		found.add("memory-bytes", "must be 0 or at least %d", minMemoryBytes)
	} else if n != 0 && s.GetMaxBodyBytes() > n/memoryPerBody {
		found.add("max-body-bytes", "must be at most %d, a tenth of memory-bytes", n/memoryPerBody)
	}
	if n := s.GetMaxDescriptors(); n != 0 && n < overload.MinDescriptors {
		found.add("max-descriptors", "must be 0 or at least %d", overload.MinDescriptors)
	}
}

// checkTLS reports TLS files that are missing, or given although plain text is
// allowed. All three are required unless it is.
func checkTLS(found *problems, listener, cert, key, ca, plaintextFlag string, plaintext bool) {
	files := []struct{ flag, path string }{
		{listener + "-tls-cert", cert},
		{listener + "-tls-key", key},
		{listener + "-tls-ca", ca},
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

// checkCallerTLS reports files that are not of use without the others. Callers may
// be served in plain text without a flag.
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

// checkAdvertised reports a missing address to advertise. It is required when the
// listener accepts connections on every address of the host.
func checkAdvertised(found *problems, flag, address, listenFlag, listen string) {
	a, err := netip.ParseAddrPort(listen)
	if address == "" && err == nil && a.Addr().IsUnspecified() {
		found.add(flag, "must be given when --%s names no single address", listenFlag)
	}
}

// checkListeners reports listeners whose addresses overlap.
func checkListeners(found *problems, s *bronzeturnv1.Settings) {
	listeners := []struct{ flag, listen string }{
		{"caller-listen", s.GetCallerListen()},
		{"peer-listen", s.GetPeerListen()},
		{"operator-listen", s.GetOperatorListen()},
		{"admin-listen", s.GetAdminListen()},
	}
	for i, one := range listeners {
		for _, other := range listeners[:i] {
			if overlap(one.listen, other.listen) {
				found.add(one.flag, "is the same address as --%s", other.flag)
			}
		}
	}
}

// overlap reports whether two listen addresses can't be used at the same time.
func overlap(one, other string) bool {
	a, errA := netip.ParseAddrPort(one)
	b, errB := netip.ParseAddrPort(other)
	if errA != nil || errB != nil || a.Port() == 0 || a.Port() != b.Port() {
		return false
	}
	return a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified()
}
