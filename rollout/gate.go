package rollout

// Gate tells whether a version may receive new work.
type Gate uint8

// The values of Gate.
const (
	// GateOpen means that no cut-off is in force.
	GateOpen Gate = iota
	// GateTrickle means that the version was cut off, and is tried again with a
	// small share of requests.
	GateTrickle
	// GateClosed means that the version is cut off.
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
