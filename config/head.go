package config

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

const (
	// MaxHeadBytes bounds the marshalled head.
	MaxHeadBytes = 512 << 10
	// nonceBytes is the length of the nonce by which a writer recognises its head.
	nonceBytes = 16
	// maxPreviousNonces is the number of earlier heads whose nonces a head lists. A
	// writer whose head was replaced at most so often can still tell that its change
	// was in force.
	maxPreviousNonces = 16
	maxPartNameBytes  = 160
	maxOperatorBytes  = 128
)

// HeadError reports a head that is invalid or cannot be decoded or encoded.
type HeadError struct {
	Message string
	Cause   error
}

// Error implements error.
func (e *HeadError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("configuration head: %s: %v", e.Message, e.Cause)
	}
	return "configuration head: " + e.Message
}

// Unwrap returns the cause, or nil.
func (e *HeadError) Unwrap() error { return e.Cause }

// DecodeHead decodes and checks a head. The error is a *HeadError.
func DecodeHead(value []byte) (*bronzeturnv1.Head, error) {
	if len(value) > MaxHeadBytes {
		return nil, &HeadError{Message: fmt.Sprintf("%d bytes are above the limit of %d", len(value), MaxHeadBytes)}
	}
	head := &bronzeturnv1.Head{}
	if err := proto.Unmarshal(value, head); err != nil {
		return nil, &HeadError{Message: "cannot be decoded", Cause: err}
	}
	if err := checkHead(head); err != nil {
		return nil, err
	}
	return head, nil
}

// EncodeHead checks and marshals a head.
func EncodeHead(head *bronzeturnv1.Head) ([]byte, error) {
	if err := checkHead(head); err != nil {
		return nil, err
	}
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(head)
	if err != nil {
		return nil, &HeadError{Message: "cannot be encoded", Cause: err}
	}
	if len(value) > MaxHeadBytes {
		return nil, &HeadError{Message: fmt.Sprintf("%d bytes are above the limit of %d", len(value), MaxHeadBytes)}
	}
	return value, nil
}

func checkHead(head *bronzeturnv1.Head) error {
	if head.GetGeneration() == 0 {
		return &HeadError{Message: "generation is zero"}
	}
	if len(head.GetNonce()) != nonceBytes {
		return &HeadError{Message: fmt.Sprintf("nonce of %d bytes, expected %d", len(head.GetNonce()), nonceBytes)}
	}
	if n := len(head.GetPreviousNonces()); n > maxPreviousNonces {
		return &HeadError{Message: fmt.Sprintf("%d previous nonces are above the limit of %d", n, maxPreviousNonces)}
	}
	if n := len(head.GetParts()); n > MaxParts {
		return &HeadError{Message: fmt.Sprintf("%d parts are above the limit of %d", n, MaxParts)}
	}
	return checkRefs(head.GetParts())
}

func checkRefs(refs []*bronzeturnv1.PartRef) error {
	total, last := uint64(0), ""
	for i, ref := range refs {
		name := ref.GetName()
		if name <= last || len(name) > maxPartNameBytes {
			return &HeadError{Message: fmt.Sprintf("parts[%d]: name is out of order or too long", i)}
		}
		if len(ref.GetSha256()) != len(Digest{}) {
			return &HeadError{Message: fmt.Sprintf("parts[%d]: digest of %d bytes", i, len(ref.GetSha256()))}
		}
		if ref.GetSize() > MaxPartBytes {
			return &HeadError{Message: fmt.Sprintf("parts[%d]: %d bytes are above the limit of %d", i, ref.GetSize(), MaxPartBytes)}
		}
		total += uint64(ref.GetSize())
		last = name
	}
	if total > MaxTotalBytes {
		return &HeadError{Message: fmt.Sprintf("parts of %d bytes are above the limit of %d", total, MaxTotalBytes)}
	}
	return nil
}

// RefDigest returns the digest in the reference. The head that holds it must have
// been checked, as by DecodeHead.
func RefDigest(ref *bronzeturnv1.PartRef) Digest {
	return Digest(ref.GetSha256())
}

// PartsOf returns the parts of a checked head, in the order of the head, from the
// stored values by digest. It fails with a *PartError if a value is missing or has
// the wrong size.
func PartsOf(head *bronzeturnv1.Head, values map[Digest][]byte) ([]Part, error) {
	parts := make([]Part, 0, len(head.GetParts()))
	for _, ref := range head.GetParts() {
		digest := RefDigest(ref)
		value, ok := values[digest]
		if !ok {
			return nil, &PartError{Name: ref.GetName(), Message: "is missing"}
		}
		if len(value) != int(ref.GetSize()) {
			return nil, &PartError{Name: ref.GetName(), Message: "size differs from the one in the head"}
		}
		parts = append(parts, Part{Name: ref.GetName(), Digest: digest, Value: value})
	}
	return parts, nil
}

// BuildSnapshot assembles, validates and indexes the configuration of a checked head
// from the stored values by digest. It fails with a *PartError or a
// *ValidationError.
func BuildSnapshot(head *bronzeturnv1.Head, values map[Digest][]byte) (*Snapshot, error) {
	parts, err := PartsOf(head, values)
	if err != nil {
		return nil, err
	}
	reg, rules, err := AssembleParts(parts)
	if err != nil {
		return nil, err
	}
	return newSnapshot(head.GetGeneration(), reg, rules)
}
