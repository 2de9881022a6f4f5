package bronzeturn

import "runtime/debug"

// developmentVersion is the version of programs built from a working tree.
const developmentVersion = "devel"

// Version returns the module version that the program was built from.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" || info.Main.Version == "(devel)" {
		return developmentVersion
	}
	return info.Main.Version
}
