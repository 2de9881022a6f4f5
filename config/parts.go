package config

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"google.golang.org/protobuf/proto"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

const (
	// MaxParts bounds the parts that one head may name.
	MaxParts = 4096
	// MaxPartBytes bounds one part, well below the store's limit.
	MaxPartBytes = 512 << 10
	// MaxTotalBytes bounds all parts of one head together.
	MaxTotalBytes = 16 << 20
)

// Digest is the SHA-256 of the stored bytes of a part.
type Digest [sha256.Size]byte

// String returns the digest in lower-case hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Key returns the key of the part in the object API.
func (d Digest) Key() string { return PartPrefix + d.String() }

// DigestOf returns the digest of stored bytes.
func DigestOf(value []byte) Digest { return sha256.Sum256(value) }

// Part is a piece of the register or the rules in its stored form.
type Part struct {
	// Name is unique in a head, for example "register.engines.diag-llm.03".
	Name   string
	Digest Digest
	// Value is the marshalled bronzeturnv1.Part.
	Value []byte
}

// PartError reports that a part does not fit the head or cannot be decoded.
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

// AssembleParts joins the parts of one head. The entries come in order of their
// names within each section. The result still has to be validated.
func AssembleParts(parts []Part) (*bronzeturnv1.Register, *bronzeturnv1.Rules, error) {
	reg, rules := &bronzeturnv1.Register{}, &bronzeturnv1.Rules{}
	for _, part := range parts {
		piece, err := decodePart(part)
		if err != nil {
			return nil, nil, err
		}
		join(reg, rules, piece)
	}
	sortSections(reg, rules)
	return reg, rules, nil
}

// join appends the entries of a piece, which must not be used afterwards.
func join(reg *bronzeturnv1.Register, rules *bronzeturnv1.Rules, piece *bronzeturnv1.Part) {
	from := piece.GetRegister()
	reg.DataCentres = append(reg.DataCentres, from.GetDataCentres()...)
	reg.Models = append(reg.Models, from.GetModels()...)
	reg.Versions = append(reg.Versions, from.GetVersions()...)
	reg.Organisations = append(reg.Organisations, from.GetOrganisations()...)
	reg.Pools = append(reg.Pools, from.GetPools()...)
	reg.Engines = append(reg.Engines, from.GetEngines()...)
	reg.Services = append(reg.Services, from.GetServices()...)
	decided := piece.GetRules()
	rules.Kinds = append(rules.Kinds, decided.GetKinds()...)
	rules.Withdrawals = append(rules.Withdrawals, decided.GetWithdrawals()...)
	rules.Limits = append(rules.Limits, decided.GetLimits()...)
	rules.Rollouts = append(rules.Rollouts, decided.GetRollouts()...)
}

// decodePart checks the part against its digest and its name.
func decodePart(part Part) (*bronzeturnv1.Part, error) {
	if DigestOf(part.Value) != part.Digest {
		return nil, &PartError{Name: part.Name, Message: "content does not match its digest"}
	}
	piece := &bronzeturnv1.Part{}
	if err := proto.Unmarshal(part.Value, piece); err != nil {
		return nil, &PartError{Name: part.Name, Message: "cannot be decoded", Cause: err}
	}
	if piece.GetName() != part.Name {
		message := fmt.Sprintf("content is named %q", clip(piece.GetName()))
		return nil, &PartError{Name: part.Name, Message: message}
	}
	return piece, nil
}

// rebase returns the part with another base generation, and thus another digest.
func rebase(part Part, base uint64) (Part, error) {
	piece, err := decodePart(part)
	if err != nil {
		return Part{}, err
	}
	piece.BaseGeneration = base
	return encodePart(piece)
}

// sortSections gives buckets of one section a common order.
func sortSections(reg *bronzeturnv1.Register, rules *bronzeturnv1.Rules) {
	reg.Engines = sortedBy(reg.GetEngines(), (*bronzeturnv1.Engine).GetName)
	reg.Organisations = sortedBy(reg.GetOrganisations(), (*bronzeturnv1.Organisation).GetName)
	rules.Limits = sortedBy(rules.GetLimits(), (*bronzeturnv1.Limit).GetOrganisation)
}
