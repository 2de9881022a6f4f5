// Package examples holds the complete registers, rules and host lists of two deployments,
// for the demo, the tests and as a start for operators.
package examples

import "embed"

// Files holds the directory of each deployment with register.yaml, rules.yaml
// and hosts.json.
//
//go:embed */*.yaml */*.json
var Files embed.FS

// Names are the deployments.
var Names = []string{CampinaVerde, Andina}

// The deployments.
const (
	CampinaVerde = "campina-verde"
	Andina       = "andina"
)
