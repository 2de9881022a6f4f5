package bronzeturn

import "runtime/debug"

// developmentVersion is shown by programs that were built from a work tree.
const developmentVersion = "devel"

// Version returns the version of the module that the program was built from.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" || info.Main.Version == "(devel)" {
		return developmentVersion
	}
	return info.Main.Version
}
