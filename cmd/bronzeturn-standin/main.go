// Command bronzeturn-standin runs a stand-in, a simulated system of those that daemons work
// with. Its first line on standard output is a JSON object with the address it listens on.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/bronzeturn/bronzeturn/standin"
)

// options holds the command line.
type options struct {
	Listen string `help:"TCP address to listen on; port 0 picks a free one." default:"127.0.0.1:0"`

	ObjectAPI    objectAPICommand    `cmd:"" name:"object-api" help:"Run the object API."`
	HostList     hostListCommand     `cmd:"" name:"host-list" help:"Run the host list."`
	Rating       ratingCommand       `cmd:"" name:"rating" help:"Run the rating service."`
	WeightStore  weightStoreCommand  `cmd:"" name:"weight-store" help:"Run the weight store."`
	Engine       engineCommand       `cmd:"" name:"engine" help:"Run a model engine."`
	PlainService plainServiceCommand `cmd:"" name:"plain-service" help:"Run a plain service."`
}

// serve listens, prints the address and serves until SIGINT or SIGTERM.
func serve(o *options, s standin.Server) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	l, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	started := struct {
		Address string `json:"address"`
	}{l.Addr().String()}
	if err := json.NewEncoder(os.Stdout).Encode(started); err != nil {
		return fmt.Errorf("print address: %w", err)
	}
	return s.Serve(ctx, l)
}

func main() {
	var o options
	run := kong.Parse(&o, kong.Description("Stand-ins for the systems that daemons work with, for trials and tests."))
	run.FatalIfErrorf(run.Run(&o))
}
