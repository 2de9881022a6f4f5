// Package cli implements the command line of bronzeturn for operators and for trials.
// Commands print text, or one JSON document with --json, and end with one of the
// documented exit codes.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/alecthomas/kong"
)

// programName is the name shown in the help and in error messages.
const programName = "bronzeturn"

const description = `Command line of bronzeturn.

Exit codes: 0 done, 1 failed, 2 wrong usage, 3 conflict with another change,
4 invalid register or rules, 5 no answer, 6 refused.`

// errNoDemo reports that Commands.Demo is not set.
var errNoDemo = errors.New("this program was built without the demo")

// Commands holds the implementations of commands that this package does not import.
type Commands struct {
	// Demo runs stand-ins and daemons and writes its tables or JSON to w.
	Demo func(ctx context.Context, w io.Writer, o DemoOptions) error
}

// DemoOptions are the options of the demo command.
type DemoOptions struct {
	JSON bool
	// LogFile is the file for the log lines of the daemons. If empty, they are discarded.
	LogFile string
}

// grammar declares the commands and the flags that all commands share.
type grammar struct {
	JSON bool `name:"json" help:"Write one JSON document instead of text."`

	Demo       demoCommand       `cmd:"" help:"Run stand-ins and three daemons on loopback with the traffic of both examples."`
	Check      checkCommand      `cmd:"" help:"Validate register and rules files offline."`
	Apply      applyCommand      `cmd:"" help:"Put register and rules files in force, in one conditional update."`
	Withdraw   withdrawCommand   `cmd:"" help:"Withdraw a version, so that it gets no new work."`
	Status     statusCommand     `cmd:"" help:"Show each daemon, and how many daemons have the newest configuration in force."`
	Bills      billsCommand      `cmd:"" help:"Show what was billed, by organisation, version and day."`
	Entries    entriesCommand    `cmd:"" help:"Show which addresses callers should use, and for how long."`
	Send       sendCommand       `cmd:"" help:"Send one request and print the answer, streamed or in one piece."`
	Load       loadCommand       `cmd:"" help:"Send requests at a steady rate for a given time and check every answer."`
	Explain    explainCommand    `cmd:"" help:"Show what happened to one request, from the log files of the entry daemons."`
	Timeline   timelineCommand   `cmd:"" help:"Show the state changes of daemons in order of time, from their log files."`
	Losses     lossesCommand     `cmd:"" help:"Show how much worth requests lost and why, from the daemons' log files: by route, size and time."`
	Quarantine quarantineCommand `cmd:"" help:"Show the requests in quarantine, which entry daemons keep away from engines because they crash them, or clear one."`
	Certs      certsCommand      `cmd:"" help:"Create certificate authorities and certificates for trials."`
	Version    versionCommand    `cmd:"" help:"Show the version of this program."`
}

// app holds what commands run with.
type app struct {
	ctx      context.Context
	commands Commands
	out      printer
}

// Run parses args, which exclude the program's name, runs the command and returns the
// exit code. Cancelling ctx ends the command.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer, commands Commands) int {
	var g grammar
	exited := false
	parser, err := kong.New(&g,
		kong.Name(programName),
		kong.Description(description),
		kong.Writers(stdout, stderr),
		kong.Exit(func(int) { exited = true }),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
	)
	if err != nil {
		return report(stderr, false, fmt.Errorf("build parser: %w", err))
	}
	command, err := parser.Parse(args)
	if exited {
		return ExitOK
	}
	if err != nil {
		return report(stderr, g.JSON, &usageError{cause: err})
	}
	a := &app{ctx: ctx, commands: commands, out: printer{w: stdout, json: g.JSON}}
	if err := command.Run(a); err != nil {
		return report(stderr, g.JSON, err)
	}
	return ExitOK
}

// demoCommand runs the demo.
type demoCommand struct {
	LogFile string `type:"path" help:"Write the daemons' log lines to this file. Default: they are discarded."`
}

// Run implements the command.
func (d demoCommand) Run(a *app) error {
	if a.commands.Demo == nil {
		return errNoDemo
	}
	return a.commands.Demo(a.ctx, a.out.w, DemoOptions{JSON: a.out.json, LogFile: d.LogFile})
}
