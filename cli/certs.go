package cli

import (
	"runtime/debug"
	"time"

	"github.com/bronzeturn/bronzeturn/security"
)

const hoursPerDay = 24

// maxCertificateDays is the longest validity of certificates for trials.
const maxCertificateDays = 365

// certsCommand creates certificate authorities and certificates.
type certsCommand struct {
	Directory string   `arg:"" type:"path" help:"Directory to write to. Existing files are not overwritten."`
	Hosts     []string `required:"" help:"IP addresses or DNS names of the daemons, separated by commas."`
	Days      int      `default:"30" help:"Days for which the certificates are valid, at most 365."`
}

// certsOutput is the JSON shape of the command.
type certsOutput struct {
	Files []string `json:"files"`
}

// Run implements the command.
func (c certsCommand) Run(a *app) error {
	if c.Days < 1 || c.Days > maxCertificateDays {
		return usage("--days must be from 1 to %d", maxCertificateDays)
	}
	paths, err := security.WriteDevelopment(c.Directory, security.Development{
		Hosts:    c.Hosts,
		Start:    time.Now(),
		Validity: time.Duration(c.Days) * hoursPerDay * time.Hour,
	})
	if err != nil {
		return err
	}
	if a.out.json {
		return a.out.object(certsOutput{Files: paths})
	}
	for _, path := range paths {
		a.out.printf("%s", path)
	}
	return nil
}

// versionCommand shows the version of the program.
type versionCommand struct{}

// versionOutput is the JSON shape of the command.
type versionOutput struct {
	Version  string `json:"version"`
	Revision string `json:"revision,omitempty"`
	Go       string `json:"go"`
}

// Run implements the command.
func (versionCommand) Run(a *app) error {
	out := versionOutput{Version: "unknown"}
	if info, ok := debug.ReadBuildInfo(); ok {
		out.Version, out.Go = info.Main.Version, info.GoVersion
		for _, setting := range info.Settings {
			if setting.Key == "vcs.revision" {
				out.Revision = setting.Value
			}
		}
	}
	if a.out.json {
		return a.out.object(out)
	}
	a.out.printf("%s %s %s %s", programName, out.Version, out.Revision, out.Go)
	return nil
}
