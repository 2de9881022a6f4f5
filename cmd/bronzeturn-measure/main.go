// Command bronzeturn-measure measures the decisions in virtual time and writes
// docs/MEASUREMENTS.md, its plots, and the bounds that CI checks.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"github.com/bronzeturn/bronzeturn/measure"
)

type command struct {
	Out    string `help:"Directory for MEASUREMENTS.md, measurements.csv and plots." type:"path" default:"docs"`
	Bounds string `help:"File to write the bounds of the seeded figures to, for example measure/testdata/bounds.json. None by default, since that accepts the present figures." type:"path" optional:""`
}

func main() {
	var c command
	kong.Parse(&c, kong.Description("Measures the decisions in virtual time."))
	if err := measure.Publish(c.Out, c.Bounds); err != nil {
		fmt.Fprintln(os.Stderr, "bronzeturn-measure:", err)
		os.Exit(1)
	}
}
