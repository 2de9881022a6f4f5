package config

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

func (v *validator) dataCentres() {
	const section = "register.data_centres"
	v.count(section, len(v.register.GetDataCentres()), maxDataCentres)
	for i, dc := range v.register.GetDataCentres() {
		path := index(section, i)
		v.declare(&v.dataCentreNames, path+".name", dc.GetName())
		if region := dc.GetRegion(); region != "" && !validName(region) {
			v.add(path+".region", "region %q is not a valid name", clip(region))
		}
	}
}

func (v *validator) models() {
	const section = "register.models"
	v.count(section, len(v.register.GetModels()), maxModels)
	for i, m := range v.register.GetModels() {
		v.declare(&v.modelNames, index(section, i)+".name", m.GetName())
	}
}

func (v *validator) versions() {
	const section = "register.versions"
	v.count(section, len(v.register.GetVersions()), maxVersions)
	v.versionModels = make(map[string]string)
	declared := make(names)
	for i, version := range v.register.GetVersions() {
		path := index(section, i)
		v.declare(&declared, path+".name", version.GetName())
		v.versionModels[version.GetName()] = version.GetModel()
		v.refer(v.modelNames, path+".model", "model", version.GetModel())
		v.integer(path+".prompt_price_micros", version.GetPromptPriceMicros(), 0, maxPriceMicros)
		v.integer(path+".completion_price_micros", version.GetCompletionPriceMicros(), 0, maxPriceMicros)
		v.ratio(path+".prior_quality", version.GetPriorQuality())
		v.priors(path+".prior_quality_by_kind", version.GetPriorQualityByKind())
		v.integer(path+".context_tokens", version.GetContextTokens(), 0, maxTokens)
	}
}

func (v *validator) priors(path string, priors []*bronzeturnv1.KindQuality) {
	known := make(names)
	for _, kind := range v.rules.GetKinds() {
		known[kind.GetName()] = struct{}{}
	}
	seen := make(names)
	for i, prior := range priors {
		at := index(path, i)
		v.declare(&seen, at+".kind", prior.GetKind())
		v.refer(known, at+".kind", "kind", prior.GetKind())
		v.ratio(at+".quality", prior.GetQuality())
	}
}

// version checks a reference to a version.
func (v *validator) version(path, name string) {
	if _, ok := v.versionModels[name]; !ok {
		v.add(path, "unknown version %q", clip(name))
	}
}

// versionList checks a list of distinct references to versions.
func (v *validator) versionList(path string, list []string) {
	v.unique(path, list)
	for i, name := range list {
		v.version(index(path, i), name)
	}
}

func (v *validator) services() {
	const section = "register.services"
	v.count(section, len(v.register.GetServices()), maxServices)
	for i, service := range v.register.GetServices() {
		path := index(section, i)
		v.declare(&v.serviceNames, path+".name", service.GetName())
		v.integer(path+".call_price_micros", service.GetCallPriceMicros(), 0, maxPriceMicros)
		v.instances(path+".instances", service.GetInstances())
	}
}

func (v *validator) instances(path string, instances []*bronzeturnv1.ServiceInstance) {
	v.count(path, len(instances), maxInstances)
	addresses := make(names)
	for i, instance := range instances {
		at := index(path, i)
		v.host(at+".host", instance.GetHost())
		v.address(at+".address", instance.GetAddress())
		v.refer(v.dataCentreNames, at+".data_centre", "data centre", instance.GetDataCentre())
		v.once(addresses, at+".address", "address", instance.GetAddress())
	}
}

// host checks the name of a backend server host.
func (v *validator) host(path, host string) {
	if !validName(host) {
		v.add(path, "host %q is not a valid name", clip(host))
	}
}

// once reports the second use of a value that has to be unique.
func (v *validator) once(seen names, path, what, value string) {
	if seen.has(value) {
		v.add(path, "%s %q is used twice", what, clip(value))
	}
	seen[value] = struct{}{}
}

func (v *validator) pools() {
	const section = "register.pools"
	v.count(section, len(v.register.GetPools()), maxPools)
	for i, pool := range v.register.GetPools() {
		v.declare(&v.poolNames, index(section, i)+".name", pool.GetName())
	}
}

func (v *validator) engines() {
	const section = "register.engines"
	v.count(section, len(v.register.GetEngines()), maxEngines)
	var declared names
	addresses := make(names)
	for i, engine := range v.register.GetEngines() {
		path := index(section, i)
		v.declare(&declared, path+".name", engine.GetName())
		v.refer(v.poolNames, path+".pool", "pool", engine.GetPool())
		v.refer(v.dataCentreNames, path+".data_centre", "data centre", engine.GetDataCentre())
		v.host(path+".host", engine.GetHost())
		v.address(path+".address", engine.GetAddress())
		v.once(addresses, path+".address", "address", engine.GetAddress())
		v.versionList(path+".versions", engine.GetVersions())
		v.integer(path+".slots", int64(engine.GetSlots()), 1, maxSlots)
		if rate := engine.GetTokensPerSecond(); !(rate > 0 && rate <= maxTokensPerSecond) {
			v.add(path+".tokens_per_second", "%v is not above 0 and at most %v", rate, float64(maxTokensPerSecond))
		}
	}
}

func (v *validator) organisations() {
	const section = "register.organisations"
	v.count(section, len(v.register.GetOrganisations()), maxOrganisations)
	hashes := make(names)
	for i, org := range v.register.GetOrganisations() {
		path := index(section, i)
		v.declare(&v.organisationNames, path+".name", org.GetName())
		v.keys(path+".key_sha256", org.GetKeySha256(), hashes)
		v.versionList(path+".allowed_versions", org.GetAllowedVersions())
		v.referList(v.modelNames, path+".allowed_models", "model", org.GetAllowedModels())
		v.referList(v.serviceNames, path+".allowed_services", "service", org.GetAllowedServices())
	}
}

func (v *validator) referList(set names, path, what string, list []string) {
	v.unique(path, list)
	for i, name := range list {
		v.refer(set, index(path, i), what, name)
	}
}

// keys checks the key digests of one organisation. Messages never show them.
func (v *validator) keys(path string, keys []string, seen names) {
	v.count(path, len(keys), maxKeysPerOrg)
	for i, key := range keys {
		at := index(path, i)
		raw, err := hex.DecodeString(key)
		if err != nil || len(raw) != sha256.Size || strings.ToLower(key) != key {
			v.add(at, "must be a SHA-256 digest of %d lower-case hexadecimal digits", 2*sha256.Size)
			continue
		}
		if seen.has(key) {
			v.add(at, "key digest is used twice")
		}
		seen[key] = struct{}{}
	}
}
