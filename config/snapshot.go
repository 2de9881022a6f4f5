package config

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"sort"

	"google.golang.org/protobuf/proto"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// Snapshot is one generation of the configuration, validated and indexed. It is
// immutable and safe for concurrent use; callers must not modify anything they get
// from it.
type Snapshot struct {
	generation uint64
	register   *bronzeturnv1.Register
	rules      *bronzeturnv1.Rules

	// keys are bucketed by the first byte of the digest.
	keys          [256][]keyEntry
	organisations map[string]*bronzeturnv1.Organisation
	access        map[string]*access
	kinds         map[string]*bronzeturnv1.TaskKind
	versions      map[string]*bronzeturnv1.Version
	byModel       map[string][]string
	withdrawals   map[string]*bronzeturnv1.Withdrawal
	limits        map[string]*bronzeturnv1.Limit
	rollouts      map[string]*bronzeturnv1.Rollout
	pools         map[string]*bronzeturnv1.Pool
	services      map[string]*bronzeturnv1.Service
	engines       map[string]*bronzeturnv1.Engine
	byVersion     map[string][]*bronzeturnv1.Engine
	byPool        map[string][]*bronzeturnv1.Engine
}

// keyEntry is the digest of an API key and the organisation that it identifies.
type keyEntry struct {
	digest       [sha256.Size]byte
	organisation *bronzeturnv1.Organisation
}

// access holds the versions and services that an organisation may use.
type access struct {
	versions []string
	allowed  names
	services names
}

// NewSnapshot validates the register and the rules and indexes copies of them.
// It fails with a *ValidationError. In task kinds, an unset priority becomes
// PRIORITY_NORMAL, an unset below_target becomes BELOW_TARGET_BEST_AVAILABLE.
func NewSnapshot(generation uint64, reg *bronzeturnv1.Register, rules *bronzeturnv1.Rules) (*Snapshot, error) {
	return newSnapshot(generation, proto.CloneOf(reg), proto.CloneOf(rules))
}

// newSnapshot keeps and modifies the register and the rules instead of copying them.
func newSnapshot(generation uint64, reg *bronzeturnv1.Register, rules *bronzeturnv1.Rules) (*Snapshot, error) {
	if err := Validate(reg, rules); err != nil {
		return nil, err
	}
	s := &Snapshot{generation: generation, register: reg, rules: rules}
	s.indexRules()
	s.indexVersions()
	s.indexEngines()
	s.indexOrganisations()
	return s, nil
}

func (s *Snapshot) indexRules() {
	for _, kind := range s.rules.GetKinds() {
		if kind.Priority == bronzeturnv1.Priority_PRIORITY_UNSPECIFIED {
			kind.Priority = bronzeturnv1.Priority_PRIORITY_NORMAL
		}
		if kind.BelowTarget == bronzeturnv1.BelowTarget_BELOW_TARGET_UNSPECIFIED {
			kind.BelowTarget = bronzeturnv1.BelowTarget_BELOW_TARGET_BEST_AVAILABLE
		}
	}
	s.kinds = indexBy(s.rules.GetKinds(), (*bronzeturnv1.TaskKind).GetName)
	s.withdrawals = indexBy(s.rules.GetWithdrawals(), (*bronzeturnv1.Withdrawal).GetVersion)
	s.limits = indexBy(s.rules.GetLimits(), (*bronzeturnv1.Limit).GetOrganisation)
	s.rollouts = indexBy(s.rules.GetRollouts(), (*bronzeturnv1.Rollout).GetVersion)
}

func (s *Snapshot) indexVersions() {
	s.versions = indexBy(s.register.GetVersions(), (*bronzeturnv1.Version).GetName)
	s.byModel = make(map[string][]string)
	for _, v := range s.register.GetVersions() {
		s.byModel[v.GetModel()] = append(s.byModel[v.GetModel()], v.GetName())
	}
	for _, list := range s.byModel {
		sort.Strings(list)
	}
	s.pools = indexBy(s.register.GetPools(), (*bronzeturnv1.Pool).GetName)
	s.services = indexBy(s.register.GetServices(), (*bronzeturnv1.Service).GetName)
}

func (s *Snapshot) indexEngines() {
	s.engines = indexBy(s.register.GetEngines(), (*bronzeturnv1.Engine).GetName)
	s.byVersion = make(map[string][]*bronzeturnv1.Engine)
	s.byPool = make(map[string][]*bronzeturnv1.Engine)
	for _, engine := range sortedBy(s.register.GetEngines(), (*bronzeturnv1.Engine).GetName) {
		s.byPool[engine.GetPool()] = append(s.byPool[engine.GetPool()], engine)
		for _, version := range engine.GetVersions() {
			s.byVersion[version] = append(s.byVersion[version], engine)
		}
	}
}

func (s *Snapshot) indexOrganisations() {
	s.organisations = indexBy(s.register.GetOrganisations(), (*bronzeturnv1.Organisation).GetName)
	s.access = make(map[string]*access, len(s.organisations))
	for _, org := range s.register.GetOrganisations() {
		for _, key := range org.GetKeySha256() {
			var digest [sha256.Size]byte
			// Validate has checked the length and the digits.
			_, _ = hex.Decode(digest[:], []byte(key))
			bucket := digest[0]
			s.keys[bucket] = append(s.keys[bucket], keyEntry{digest: digest, organisation: org})
		}
		s.access[org.GetName()] = s.accessOf(org)
	}
}

func (s *Snapshot) accessOf(org *bronzeturnv1.Organisation) *access {
	a := &access{allowed: make(names), services: make(names)}
	for _, version := range org.GetAllowedVersions() {
		a.allowed[version] = struct{}{}
	}
	for _, model := range org.GetAllowedModels() {
		for _, version := range s.byModel[model] {
			a.allowed[version] = struct{}{}
		}
	}
	for _, service := range org.GetAllowedServices() {
		a.services[service] = struct{}{}
	}
	a.versions = make([]string, 0, len(a.allowed))
	for version := range a.allowed {
		a.versions = append(a.versions, version)
	}
	sort.Strings(a.versions)
	return a
}

// indexBy returns a map of the items by name.
func indexBy[T any](items []T, name func(T) string) map[string]T {
	out := make(map[string]T, len(items))
	for _, item := range items {
		out[name(item)] = item
	}
	return out
}

// Generation returns the generation of the head the snapshot was built from.
func (s *Snapshot) Generation() uint64 { return s.generation }

// Register returns the register. It must not be modified.
func (s *Snapshot) Register() *bronzeturnv1.Register { return s.register }

// Rules returns the rules with the defaults of NewSnapshot. They must not be modified.
func (s *Snapshot) Rules() *bronzeturnv1.Rules { return s.rules }

// Authenticate returns the organisation that the API key identifies. The SHA-256
// digest of the key is compared in constant time with every digest of its bucket, so
// that the time taken reveals nothing useful about other keys. The empty key is never
// accepted.
func (s *Snapshot) Authenticate(key string) (*bronzeturnv1.Organisation, bool) {
	digest := sha256.Sum256([]byte(key))
	var found *bronzeturnv1.Organisation
	for i := range s.keys[digest[0]] {
		entry := &s.keys[digest[0]][i]
		if subtle.ConstantTimeCompare(entry.digest[:], digest[:]) == 1 {
			found = entry.organisation
		}
	}
	if key == "" || found == nil {
		return nil, false
	}
	return found, true
}
