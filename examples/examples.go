// Package examples embeds the complete registers, rules and host lists of two deployments.
// The demo and tests use them, and operators can start from them.
package examples

import "embed"

// Files holds a directory for each deployment, with register.yaml, rules.yaml and
// hosts.json.
//
//go:embed */*.yaml */*.json
var Files embed.FS

// Names holds the directories of all deployments.
var Names = []string{CampinaVerde, Andina}

// Directories of the deployments.
const (
	CampinaVerde = "campina-verde"
	Andina       = "andina"
)
