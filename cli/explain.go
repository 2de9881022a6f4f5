package cli

import (
	"errors"
	"fmt"
	"os"

	"github.com/bronzeturn/bronzeturn/explain"
)

// explainCommand shows what happened to one request, from log files.
type explainCommand struct {
	Request string   `arg:"" help:"ID of the request, as the caller sent it."`
	Files   []string `arg:"" type:"existingfile" help:"Log files of the daemons."`
}

// timelineCommand shows the state changes of all daemons in order of time.
type timelineCommand struct {
	Files []string `arg:"" type:"existingfile" help:"Log files of the daemons."`
}

// errNoSuchRequest reports that no log line names the request.
var errNoSuchRequest = errors.New("no log line has this request ID")

// Run implements the command.
func (c *explainCommand) Run(a *app) error {
	lines, err := readLogs(c.Files)
	if err != nil {
		return err
	}
	timeline := explain.RequestTimeline(lines, c.Request)
	if len(timeline) == 0 {
		return fmt.Errorf("%s: %w", c.Request, errNoSuchRequest)
	}
	if err := a.printLines(timeline); err != nil || a.out.json {
		return err
	}
	for _, sentence := range explain.QueueSentences(timeline, c.Request) {
		a.out.printf("%s", sentence)
	}
	return nil
}

// Run implements the command.
func (c *timelineCommand) Run(a *app) error {
	lines, err := readLogs(c.Files)
	if err != nil {
		return err
	}
	return a.printLines(explain.Timeline(lines))
}

// readLogs returns the lines of all files, file by file.
func readLogs(files []string) ([]explain.Line, error) {
	var all []explain.Line
	for _, path := range files {
		file, err := os.Open(path)
		if err != nil {
			return nil, err
		}
		lines, _, err := explain.ReadLog(file)
		_ = file.Close() // Opened for reading only.
		if err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		all = append(all, lines...)
	}
	return all, nil
}

// printLines prints log lines as text or JSON.
func (a *app) printLines(lines []explain.Line) error {
	if a.out.json {
		return a.out.object(lines)
	}
	return explain.WriteLines(a.out.w, lines)
}
