package main

import (
	"context"
	"encoding/json"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"pearlanding/internal/account"
)

func addAccount(app *kingpin.Application, run action) {
	cmd := app.Command("account", "Tell from saved log files of all daemons what made requests late or lost: by cause, kind and second.")
	asJSON := cmd.Flag("json", "Print JSON, with all seconds.").Bool()
	files := cmd.Arg("file", "Log files.").Required().ExistingFiles()
	cmd.Action(run(func(context.Context) int { return tellAccount(*files, *asJSON) }))
}

func tellAccount(files []string, asJSON bool) int {
	lines, err := readLogs(files)
	if err != nil {
		return fail(err)
	}
	report := account.Of(lines)
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
