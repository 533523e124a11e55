package main

import (
	"context"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"pearlanding/internal/decisionlog"
)

func addTrace(app *kingpin.Application, run action) {
	cmd := app.Command("trace", "Tell one request's story from saved log files of one or more daemons: its lines, and what was believed then.")
	id := cmd.Arg("id", "Id of the request.").Required().String()
	files := cmd.Arg("file", "Log files.").Required().ExistingFiles()
	cmd.Action(run(func(context.Context) int { return trace(*id, *files) }))
}

func trace(id string, files []string) int {
	all, err := readLogs(files)
	if err != nil {
		return fail(err)
	}
	story := decisionlog.Story(all, id)
	if len(story) == 0 {
		return fail(fmt.Errorf("no line of request %s in these files: it was served at the first try and not sampled, or it reached none of these daemons", id))
	}
	for _, l := range story {
		fmt.Println(l)
	}
	return exitOK
}

// readLogs reads the lines of several log files.
func readLogs(files []string) ([]decisionlog.Line, error) {
	var all []decisionlog.Line
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		lines, err := decisionlog.ReadLines(name, f)
		f.Close()
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		all = append(all, lines...)
	}
	return all, nil
}
