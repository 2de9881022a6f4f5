// Command bronzeturn-measure measures the routing decisions in simulations in virtual time
// and writes docs/MEASUREMENTS.md, its plots, and the bounds that CI checks.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"github.com/bronzeturn/bronzeturn/measure"
)

// command holds the command line.
type command struct {
	Out    string `help:"Directory for MEASUREMENTS.md, measurements.csv and plots." type:"path" default:"docs"`
	Bounds string `help:"File to write the bounds of the figures of seeded runs to, for example measure/testdata/bounds.json. Not written by default, since writing it accepts the present figures." type:"path" optional:""`
}

func main() {
	var c command
	kong.Parse(&c, kong.Description("Measures the routing decisions in virtual time."))
	if err := measure.Publish(c.Out, c.Bounds); err != nil {
		fmt.Fprintln(os.Stderr, "bronzeturn-measure:", err)
		os.Exit(1)
	}
}
