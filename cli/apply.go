package cli

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/url"
	"time"

	"github.com/bronzeturn/bronzeturn/config"
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/objectstore/httpstore"
)

// applyTimeout is the time limit for a change of the configuration, including retries.
const applyTimeout = 60 * time.Second

// storeFlags name the store of the configuration and who changes it, and why.
type storeFlags struct {
	Store string  `name:"store" env:"BRONZETURN_STORE_URL" required:"" help:"URL of the object API."`
	By    string  `name:"by" env:"USER" help:"Who makes the change. Stored with it."`
	Note  string  `help:"Why the change is made. Stored with it."`
	Base  *uint64 `placeholder:"GENERATION" help:"Generation that the change is based on. If another one is in force, the change is refused as a conflict."`
}

// publish applies the change to the store and prints the result.
func (s storeFlags) publish(a *app, change config.Change) error {
	u, err := url.Parse(s.Store)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return usage("--store must be an http or https URL")
	}
	change.Base, change.AppliedBy, change.Note = s.Base, s.By, s.Note
	ctx, cancel := context.WithTimeout(a.ctx, applyTimeout)
	defer cancel()
	publisher := config.NewPublisher(config.PublisherOptions{
		Store:  httpstore.New(s.Store, &http.Client{}),
		Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	result, err := publisher.Apply(ctx, change)
	if err != nil {
		return err
	}
	return printResult(a.out, result)
}

// States of a published change.
const (
	stateAccepted   = "accepted"
	stateUnchanged  = "accepted, with the content as before"
	stateSuperseded = "accepted, and superseded by a newer one"
)

// resultOutput is the JSON shape of a published change.
type resultOutput struct {
	Generation uint64 `json:"generation"`
	Base       uint64 `json:"base_generation"`
	State      string `json:"state"`
	NewParts   int    `json:"new_parts"`
	NewBytes   int    `json:"new_bytes"`
}

func printResult(out printer, r config.Result) error {
	o := resultOutput{Generation: r.Generation, Base: r.Base, State: stateAccepted, NewParts: r.NewParts, NewBytes: r.NewBytes}
	switch {
	case r.Unchanged:
		o.State = stateUnchanged
	case r.Superseded:
		o.State = stateSuperseded
	}
	if out.json {
		return out.object(o)
	}
	out.printf("generation %d %s, based on %d, %d new parts of %d bytes", o.Generation, o.State, o.Base, o.NewParts, o.NewBytes)
	return nil
}

// applyCommand publishes register and rules files.
type applyCommand struct {
	storeFlags
	Files []string `arg:"" name:"file" help:"register*.yaml and rules*.yaml, one of each at most."`
}

// Run implements the command.
func (c applyCommand) Run(a *app) error {
	f, err := readFiles(c.Files)
	if err != nil {
		return err
	}
	if _, err := f.check(); err != nil {
		return err
	}
	return c.publish(a, config.Change{Register: f.register, Rules: f.rules})
}

// withdrawCommand publishes the withdrawal of a version.
type withdrawCommand struct {
	storeFlags
	Version string `arg:"" help:"Version to withdraw."`
	Reason  string `required:"" help:"Why. Callers whose conversation used the version are told that it was withdrawn."`
}

// Run implements the command.
func (c withdrawCommand) Run(a *app) error {
	withdrawal := &bronzeturnv1.Withdrawal{Version: c.Version, Reason: c.Reason}
	return c.publish(a, config.Change{Withdraw: withdrawal})
}
