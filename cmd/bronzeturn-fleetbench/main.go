// Command bronzeturn-fleetbench measures the resources that a fleet of daemons spends on
// its control plane. Every run ends by itself.
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

// flags holds the command line.
type flags struct {
	Daemons    int           `default:"6" help:"Number of daemons."`
	Register   string        `default:"today" enum:"today,target" help:"Size of the register: ${enum}."`
	Engines    int           `help:"Number of engines, in place of that of the register."`
	Pools      int           `help:"Number of pools, in place of that of the register."`
	Binary     string        `type:"existingfile" help:"Path of bronzeturnd, to run daemons as processes. Default: they run in this process."`
	Settle     time.Duration `default:"10s" help:"Time between readiness and the first measurement."`
	Idle       time.Duration `default:"20s" help:"Length of the measurement without changes."`
	Changes    int           `default:"50" help:"Number of changes made one after the other."`
	Rate       float64       `default:"10" help:"Changes per second in the phase that does not wait until earlier changes are in force."`
	RateTime   time.Duration `default:"20s" help:"Length of the phase of changes at that rate."`
	Loss       int           `help:"Number of daemons to lose at once at the end. Processes are killed; daemons in this process are stopped gracefully."`
	CPUProfile string        `name:"cpu-profile" help:"File for the CPU profile of the idle phase."`
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
	kong.Parse(&f, kong.Name("bronzeturn-fleetbench"), kong.Description("Measures the resources that a fleet of daemons spends on its control plane."))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := fleetbench.Run(ctx, f.options())
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
