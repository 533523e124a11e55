package main

import (
	"context"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"pearlanding/internal/decisionlog"
)

func addTrace(app *kingpin.Application, run action) {
	cmd := app.Command("trace", "Print the log lines of one request from the saved log files of one or more daemons, and the state that the daemons knew then.")
	id := cmd.Arg("id", "Id of the request.").Required().String()
	files := cmd.Arg("file", "Log files.").Required().ExistingFiles()
	cmd.Action(run(func(context.Context) int { return printTrace(*id, *files) }))
}

func printTrace(id string, files []string) int {
	all, err := readLogs(files)
	if err != nil {
		return fail(err)
	}
	lines := decisionlog.Trace(all, id)
	if len(lines) == 0 {
		return fail(fmt.Errorf("no line of request %s in these files: it succeeded at the first attempt and was not sampled, or it reached none of these daemons", id))
	}
	for _, l := range lines {
		fmt.Println(l)
	}
	return exitOK
}

// readLogs returns the lines of several log files, in the order of the files.
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
