package rollout

// Gate states whether a version may receive new requests.
type Gate uint8

// The values of Gate.
const (
	// GateOpen means that the version is not cut off.
	GateOpen Gate = iota
	// GateTrickle means that the version is cut off, and is tried again with a small
	// share of requests.
	GateTrickle
	// GateClosed means that the version is cut off and receives no new requests.
	GateClosed
)

// String returns the name used in logs.
func (g Gate) String() string {
	switch g {
	case GateOpen:
		return "open"
	case GateTrickle:
		return "trickle"
	}
	return "closed"
}
