// Command bronzeturn-entry is the daemon of an entry host on the users'
// platform. Its settings file is named by the platform.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/bronzeturn/bronzeturn/attempt"
	"github.com/bronzeturn/bronzeturn/entry"
	"github.com/bronzeturn/bronzeturn/logging"
	"github.com/bronzeturn/bronzeturn/platform"
)

// options are the command line.
type options struct {
	Settings    string `help:"Path of the settings file. Default: the one that the platform names." type:"path" env:"BRONZETURN_ENTRY_SETTINGS"`
	MetricsPort int    `help:"Port for metrics on the host's own address, 0 for none." default:"0" env:"BRONZETURN_METRICS_PORT"`
}

// Exit codes.
const (
	exitFailure  = 1
	exitSettings = 2
)

func main() { os.Exit(run()) }

func run() int {
	var o options
	kong.Parse(&o, kong.Description("Entry daemon: takes requests of callers and sends them to engines."))
	if o.Settings == "" {
		o.Settings = platform.SettingsPath()
	}
	settings, err := platform.LoadSettings(o.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if o.MetricsPort > 0 {
		settings.Entry.MetricsListen = fmt.Sprintf("%s:%d", settings.Entry.IP, o.MetricsPort)
	}
	log := logging.NewBounded(os.Stdout)
	defer log.Close()
	d, err := entry.New(entry.Options{
		Settings: settings.Entry, Documents: platform.Documents{}, Codec: platform.Codec{},
		Store:     platform.NewStore(settings.StoreAddress, attempt.KeptTransport(entry.StoreDial)),
		LogWriter: log,
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	go d.WatchSettings(ctx, o.Settings, reload, platform.LoadEntrySettings)
	if err := d.Run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	return 0
}
