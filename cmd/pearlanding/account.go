package main

import (
	"context"
	"encoding/json"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"pearlanding/internal/account"
)

func addAccount(app *kingpin.Application, run action) {
	cmd := app.Command("account", "Summarise from the saved log files of all daemons why requests were late or lost, by cause, kind and second.")
	asJSON := cmd.Flag("json", "Print JSON that includes every second.").Bool()
	files := cmd.Arg("file", "Log files.").Required().ExistingFiles()
	cmd.Action(run(func(context.Context) int { return printAccount(*files, *asJSON) }))
}

func printAccount(files []string, asJSON bool) int {
	lines, err := readLogs(files)
	if err != nil {
		return fail(err)
	}
	report := account.NewReport(lines)
	if asJSON {
		enc := json.NewEncoder(os.Stdout)
		enc.SetIndent("", "  ")
		err = enc.Encode(report)
	} else {
		err = report.Write(os.Stdout)
	}
	if err != nil {
		return fail(err)
	}
	return exitOK
}
