package config

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

func (v *validator) dataCentres() {
	const section = "register.data_centres"
	v.count(sectionPath(section), len(v.register.GetDataCentres()), maxDataCentres)
	for i, dc := range v.register.GetDataCentres() {
		path := entryPath(section, i)
		v.declare(&v.dataCentreNames, path.at("name"), dc.GetName())
		if region := dc.GetRegion(); region != "" && !validName(region) {
			v.add(path.at("region"), "region %q is not a valid name", clip(region))
		}
	}
}

func (v *validator) models() {
	const section = "register.models"
	v.count(sectionPath(section), len(v.register.GetModels()), maxModels)
	for i, m := range v.register.GetModels() {
		v.declare(&v.modelNames, entryPath(section, i).at("name"), m.GetName())
	}
}

func (v *validator) versions() {
	const section = "register.versions"
	v.count(sectionPath(section), len(v.register.GetVersions()), maxVersions)
	v.versionModels = make(map[string]string)
	declared := make(names)
	for i, version := range v.register.GetVersions() {
		path := entryPath(section, i)
		v.declare(&declared, path.at("name"), version.GetName())
		v.versionModels[version.GetName()] = version.GetModel()
		v.reference(v.modelNames, path.at("model"), "model", version.GetModel())
		v.integer(path.at("prompt_price_micros"), version.GetPromptPriceMicros(), 0, maxPriceMicros)
		v.integer(path.at("completion_price_micros"), version.GetCompletionPriceMicros(), 0, maxPriceMicros)
		v.ratio(path.at("prior_quality"), version.GetPriorQuality())
		v.priors(path.at("prior_quality_by_kind"), version.GetPriorQualityByKind())
		v.integer(path.at("context_tokens"), version.GetContextTokens(), 0, maxTokens)
	}
}

func (v *validator) priors(path fieldPath, priors []*bronzeturnv1.KindQuality) {
	known := make(names)
	for _, kind := range v.rules.GetKinds() {
		known[kind.GetName()] = struct{}{}
	}
	seen := make(names)
	for i, prior := range priors {
		at := path.nth(i)
		v.declare(&seen, at.at("kind"), prior.GetKind())
		v.reference(known, at.at("kind"), "kind", prior.GetKind())
		v.ratio(at.at("quality"), prior.GetQuality())
	}
}

// version checks a reference to a version.
func (v *validator) version(path fieldPath, name string) {
	if _, ok := v.versionModels[name]; !ok {
		v.add(path, "unknown version %q", clip(name))
	}
}

// versionList checks a list of references to versions, which must be distinct.
func (v *validator) versionList(path fieldPath, list []string) {
	v.distinct(path, list)
	for i, name := range list {
		v.version(path.nth(i), name)
	}
}

func (v *validator) services() {
	const section = "register.services"
	v.count(sectionPath(section), len(v.register.GetServices()), maxServices)
	for i, service := range v.register.GetServices() {
		path := entryPath(section, i)
		v.declare(&v.serviceNames, path.at("name"), service.GetName())
		v.integer(path.at("call_price_micros"), service.GetCallPriceMicros(), 0, maxPriceMicros)
		v.instances(path.at("instances"), service.GetInstances())
	}
}

func (v *validator) instances(path fieldPath, instances []*bronzeturnv1.ServiceInstance) {
	v.count(path, len(instances), maxInstances)
	addresses := make(names)
	for i, instance := range instances {
		at := path.nth(i)
		v.host(at.at("host"), instance.GetHost())
		v.address(at.at("address"), instance.GetAddress())
		v.reference(v.dataCentreNames, at.at("data_centre"), "data centre", instance.GetDataCentre())
		v.unique(addresses, at.at("address"), "address", instance.GetAddress())
	}
}

// host checks the name of a host of backend servers.
func (v *validator) host(path fieldPath, host string) {
	if !validName(host) {
		v.add(path, "host %q is not a valid name", clip(host))
	}
}

// unique adds the value to the set. A value that is already in it is a problem.
func (v *validator) unique(seen names, path fieldPath, what, value string) {
	if seen.has(value) {
		v.add(path, "%s %q is used twice", what, clip(value))
	}
	seen[value] = struct{}{}
}

func (v *validator) pools() {
	const section = "register.pools"
	v.count(sectionPath(section), len(v.register.GetPools()), maxPools)
	for i, pool := range v.register.GetPools() {
		v.declare(&v.poolNames, entryPath(section, i).at("name"), pool.GetName())
	}
}

func (v *validator) engines() {
	const section = "register.engines"
	v.count(sectionPath(section), len(v.register.GetEngines()), maxEngines)
	declared := make(names, len(v.register.GetEngines()))
	addresses := make(names, len(v.register.GetEngines()))
	for i, engine := range v.register.GetEngines() {
		path := entryPath(section, i)
		v.declare(&declared, path.at("name"), engine.GetName())
		v.reference(v.poolNames, path.at("pool"), "pool", engine.GetPool())
		v.reference(v.dataCentreNames, path.at("data_centre"), "data centre", engine.GetDataCentre())
		v.host(path.at("host"), engine.GetHost())
		v.address(path.at("address"), engine.GetAddress())
		v.unique(addresses, path.at("address"), "address", engine.GetAddress())
		v.versionList(path.at("versions"), engine.GetVersions())
		v.integer(path.at("slots"), int64(engine.GetSlots()), 1, maxSlots)
		if rate := engine.GetTokensPerSecond(); !(rate > 0 && rate <= maxTokensPerSecond) {
			v.add(path.at("tokens_per_second"), "%v is not above 0 and at most %v", rate, float64(maxTokensPerSecond))
		}
	}
}

func (v *validator) organisations() {
	const section = "register.organisations"
	v.count(sectionPath(section), len(v.register.GetOrganisations()), maxOrganisations)
	hashes := make(names)
	for i, org := range v.register.GetOrganisations() {
		path := entryPath(section, i)
		v.declare(&v.organisationNames, path.at("name"), org.GetName())
		v.keys(path.at("key_sha256"), org.GetKeySha256(), hashes)
		v.versionList(path.at("allowed_versions"), org.GetAllowedVersions())
		v.referenceList(v.modelNames, path.at("allowed_models"), "model", org.GetAllowedModels())
		v.referenceList(v.serviceNames, path.at("allowed_services"), "service", org.GetAllowedServices())
	}
}

func (v *validator) referenceList(set names, path fieldPath, what string, list []string) {
	v.distinct(path, list)
	for i, name := range list {
		v.reference(set, path.nth(i), what, name)
	}
}

// keys checks the API key digests of an organisation. Messages never contain them.
func (v *validator) keys(path fieldPath, keys []string, seen names) {
	v.count(path, len(keys), maxKeysPerOrg)
	for i, key := range keys {
		at := path.nth(i)
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
