// Command bronzeturn-fleetbench measures what a fleet of daemons spends on
// control. Every run ends by itself.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/bronzeturn/bronzeturn/fleetbench"
)

// flags are the options of a run.
type flags struct {
	Daemons    int           `default:"6" help:"Number of daemons."`
	Register   string        `default:"today" enum:"today,target" help:"Size of the register: ${enum}."`
	Engines    int           `help:"Number of engines, instead of the register's."`
	Pools      int           `help:"Number of pools, instead of the register's."`
	Binary     string        `type:"existingfile" help:"Path of bronzeturnd, to run daemons as processes. Without it they run in this process."`
	Settle     time.Duration `default:"10s" help:"Time between readiness and the first measurement."`
	Idle       time.Duration `default:"20s" help:"Length of the measurement without changes."`
	Changes    int           `default:"50" help:"Changes made one after the other."`
	Rate       float64       `default:"10" help:"Changes a second made whether or not those before are in force."`
	RateTime   time.Duration `default:"20s" help:"How long to make changes at that rate."`
	Loss       int           `help:"Daemons to lose at once at the end: killed as processes, stopped gracefully in this process."`
	CPUProfile string        `name:"cpu-profile" help:"File for the processor profile of the idle phase."`
}

func (f flags) options() fleetbench.Options {
	size := fleetbench.ExistingSize()
	if f.Register == "target" {
		size = fleetbench.TargetSize()
	}
	if f.Engines > 0 {
		size.Engines = f.Engines
	}
	if f.Pools > 0 {
		size.Pools = f.Pools
	}
	return fleetbench.Options{
		Daemons: f.Daemons, Size: size, Binary: f.Binary, Settle: f.Settle, Idle: f.Idle,
		Changes: f.Changes, Rate: f.Rate, RateTime: f.RateTime, Loss: f.Loss,
		CPUProfile: f.CPUProfile, Output: os.Stdout,
	}
}

func main() {
	var f flags
	kong.Parse(&f, kong.Name("bronzeturn-fleetbench"), kong.Description("Measure what a fleet of daemons spends on control."))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := fleetbench.Run(ctx, f.options())
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
