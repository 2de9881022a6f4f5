package config

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"google.golang.org/protobuf/proto"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

const (
	// MaxParts bounds the parts that a head refers to.
	MaxParts = 4096
	// MaxPartBytes bounds one part. It is well below the store's limit for an object.
	MaxPartBytes = 512 << 10
	// MaxTotalBytes bounds the parts of a head taken together.
	MaxTotalBytes = 16 << 20
)

// Digest is the SHA-256 digest of the stored bytes of a part.
type Digest [sha256.Size]byte

// String returns the digest in lower-case hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Key returns the key of the part in the object API.
func (d Digest) Key() string { return PartPrefix + d.String() }

// DigestOf returns the digest of the stored bytes of a part.
func DigestOf(value []byte) Digest { return sha256.Sum256(value) }

// Part is a piece of the register or the rules in its stored form.
type Part struct {
	// Name is unique in a head, for example "register.engines.diag-llm.03".
	Name   string
	Digest Digest
	// Value is the marshalled bronzeturnv1.Part.
	Value []byte
}

// PartError reports a part that is missing, does not match the head, or cannot be
// decoded or encoded.
type PartError struct {
	Name    string
	Message string
	Cause   error
}

// Error implements error.
func (e *PartError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("configuration part %s: %s: %v", e.Name, e.Message, e.Cause)
	}
	return fmt.Sprintf("configuration part %s: %s", e.Name, e.Message)
}

// Unwrap returns the cause, or nil.
func (e *PartError) Unwrap() error { return e.Cause }

// AssembleParts joins the parts of a head into a register and rules. The entries of
// each section are sorted by name. The result still has to be validated.
func AssembleParts(parts []Part) (*bronzeturnv1.Register, *bronzeturnv1.Rules, error) {
	reg, rules := &bronzeturnv1.Register{}, &bronzeturnv1.Rules{}
	for _, part := range parts {
		piece, err := decodePart(part)
		if err != nil {
			return nil, nil, err
		}
		appendPart(reg, rules, piece)
	}
	sortSections(reg, rules)
	return reg, rules, nil
}

// appendPart appends the entries of a decoded part, which must not be used
// afterwards.
func appendPart(reg *bronzeturnv1.Register, rules *bronzeturnv1.Rules, piece *bronzeturnv1.Part) {
	partRegister := piece.GetRegister()
	reg.DataCentres = append(reg.DataCentres, partRegister.GetDataCentres()...)
	reg.Models = append(reg.Models, partRegister.GetModels()...)
	reg.Versions = append(reg.Versions, partRegister.GetVersions()...)
	reg.Organisations = append(reg.Organisations, partRegister.GetOrganisations()...)
	reg.Pools = append(reg.Pools, partRegister.GetPools()...)
	reg.Engines = append(reg.Engines, partRegister.GetEngines()...)
	reg.Services = append(reg.Services, partRegister.GetServices()...)
	partRules := piece.GetRules()
	rules.Kinds = append(rules.Kinds, partRules.GetKinds()...)
	rules.Withdrawals = append(rules.Withdrawals, partRules.GetWithdrawals()...)
	rules.Limits = append(rules.Limits, partRules.GetLimits()...)
	rules.Rollouts = append(rules.Rollouts, partRules.GetRollouts()...)
}

// decodePart decodes a part and checks its digest and its name.
func decodePart(part Part) (*bronzeturnv1.Part, error) {
	if DigestOf(part.Value) != part.Digest {
		return nil, &PartError{Name: part.Name, Message: "content does not match its digest"}
	}
	piece := &bronzeturnv1.Part{}
	if err := proto.Unmarshal(part.Value, piece); err != nil {
		return nil, &PartError{Name: part.Name, Message: "cannot be decoded", Cause: err}
	}
	if piece.GetName() != part.Name {
		message := fmt.Sprintf("content has the name %q", clip(piece.GetName()))
		return nil, &PartError{Name: part.Name, Message: message}
	}
	return piece, nil
}

// withBaseGeneration returns a copy of the part with the base generation, which is
// covered by the digest.
func withBaseGeneration(part Part, base uint64) (Part, error) {
	piece, err := decodePart(part)
	if err != nil {
		return Part{}, err
	}
	piece.BaseGeneration = base
	return encodePart(piece)
}

// sortSections sorts the sections that are split over several parts.
func sortSections(reg *bronzeturnv1.Register, rules *bronzeturnv1.Rules) {
	reg.Engines = sortedBy(reg.GetEngines(), (*bronzeturnv1.Engine).GetName)
	reg.Organisations = sortedBy(reg.GetOrganisations(), (*bronzeturnv1.Organisation).GetName)
	rules.Limits = sortedBy(rules.GetLimits(), (*bronzeturnv1.Limit).GetOrganisation)
}
