// Command bronzeturnd is the daemon that runs on each entry host.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/bronzeturn/bronzeturn"
	"github.com/bronzeturn/bronzeturn/settings"
)

// Exit codes.
const (
	exitFailure  = 1
	exitSettings = 2
)

func main() { os.Exit(run()) }

func run() int {
	s, err := settings.Parse(os.Args[1:], os.Environ())
	if errors.Is(err, settings.ErrHelp) {
		_ = settings.WriteHelp(os.Stdout)
		return 0
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	d, err := bronzeturn.New(s, bronzeturn.Options{ProgramVersion: bronzeturn.Version()})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := d.Run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	return 0
}
