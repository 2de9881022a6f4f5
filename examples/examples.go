// Package examples holds the complete registers and rules of two deployments,
// for the demo, the tests and as a start for operators.
package examples

import "embed"

// Files holds the directory of each deployment with register.yaml and
// rules.yaml.
//
//go:embed */*.yaml
var Files embed.FS

// Names are the deployments.
var Names = []string{CampinaVerde, Andina}

// The deployments.
const (
	CampinaVerde = "campina-verde"
	Andina       = "andina"
)
