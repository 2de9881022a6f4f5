// Command bronzeturn-entry is the daemon that runs on each entry host of the users'
// platform. The platform defines the path and the format of its settings file.
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
	"github.com/bronzeturn/bronzeturn/gateway"
	"github.com/bronzeturn/bronzeturn/logging"
	"github.com/bronzeturn/bronzeturn/overload"
	"github.com/bronzeturn/bronzeturn/platform"
)

// options holds the command line.
type options struct {
	Settings     string    `help:"Path of the settings file. Default: the path that the platform defines." type:"path" env:"BRONZETURN_ENTRY_SETTINGS"`
	Check        bool      `help:"Check the settings, and the configuration file if one is named, and exit." env:"BRONZETURN_ENTRY_CHECK"`
	Config       string    `help:"File with a configuration document to check, in the format of the store." type:"path" env:"BRONZETURN_ENTRY_CONFIG"`
	MetricsPort  int       `help:"Additional port for metrics on the host's address, 0 for none." default:"0" env:"BRONZETURN_METRICS_PORT"`
	AnswerValues []float64 `help:"Worth of a right answer of usual length for each route priority, the most urgent first, in the unit of the models' prices. The last value applies to all further priorities. Default: the worth follows from the size of the request and the price of the largest model." env:"BRONZETURN_ANSWER_VALUES"`

	OrganisationWeights string `help:"Shares of organisations in the capacity of a contended service, relative to each other, as NAME=WEIGHT,... Organisations that are not named have weight 1. Takes effect only where load is scheduled." placeholder:"NAME=WEIGHT,..." env:"BRONZETURN_ORGANISATION_WEIGHTS"`
}

// modelOptions returns the options of the choice among models, checked.
func (o *options) modelOptions() (gateway.ModelOptions, error) {
	models := gateway.DefaultModelOptions()
	models.Values = o.AnswerValues
	return models, models.Check()
}

// description is the text of --help.
const description = `Entry daemon: takes requests of callers and sends them to engines.

Run it with the platform's settings:       bronzeturn-entry --settings settings.yaml
Check settings before deployment:          bronzeturn-entry --check --settings settings.yaml
Check a configuration document as well:    bronzeturn-entry --check --settings settings.yaml --config main.json
Give an organisation a double share:       bronzeturn-entry --settings settings.yaml --organisation-weights acme=2

Exit codes: 0 stopped or checked, 1 failed, 2 settings or configuration refused.`

// Exit codes.
const (
	exitFailure  = 1
	exitSettings = 2
)

func main() { os.Exit(run()) }

func run() int {
	var o options
	kong.Parse(&o, kong.Description(description))
	if o.Settings == "" {
		o.Settings = platform.SettingsPath()
	}
	settings, err := platform.LoadSettings(o.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	models, err := o.modelOptions()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if settings.Entry.Weights, err = entry.ParseWeights(o.OrganisationWeights); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if o.Check {
		return check(o)
	}
	if o.MetricsPort > 0 {
		settings.Entry.MetricsListen = fmt.Sprintf("%s:%d", settings.Entry.IP, o.MetricsPort)
	}
	log := logging.NewAsyncWriter(os.Stdout)
	defer log.Close()
	d, err := entry.New(entry.Options{
		Settings: settings.Entry, Documents: platform.Documents{}, Codec: platform.Codec{}, Models: models,
		Store:     platform.NewStore(settings.StoreAddress, overload.BoundAnswers(attempt.NewPooledTransport(entry.StoreDial), settings.Entry.MemoryBytes)),
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

// check checks the configuration document, if --config is given. The settings are valid, as
// they have been loaded before.
func check(o options) int {
	fmt.Printf("%s: settings are valid\n", o.Settings)
	if o.Config == "" {
		return 0
	}
	data, err := os.ReadFile(o.Config)
	if err == nil {
		err = platform.CheckConfig(data)
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", o.Config, err)
		return exitSettings
	}
	fmt.Printf("%s: configuration is valid\n", o.Config)
	return 0
}
