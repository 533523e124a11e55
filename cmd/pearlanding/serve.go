package main

import (
	"context"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/alecthomas/kingpin/v2"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"pearlanding/internal/catalog"
	"pearlanding/internal/daemon"
	"pearlanding/internal/findings"
	"pearlanding/internal/objectapi"
	"pearlanding/internal/settings"
	"pearlanding/internal/telemetry"
)

func addServe(app *kingpin.Application, run action) {
	cmd := app.Command("serve", "Run one daemon.")
	config := cmd.Flag("config", "Settings file.").Required().ExistingFile()
	cmd.Action(run(func(ctx context.Context) int { return serve(ctx, *config) }))
}

func serve(ctx context.Context, config string) int {
	s, err := settings.Load(config)
	if err != nil {
		return fail(err)
	}
	log, err := newLogger(s.Log.Level)
	if err != nil {
		return fail(err)
	}
	debug.SetMemoryLimit(daemon.MemoryLimit(s))
	d := daemon.New(s, objectapi.NewClient(s.Platform.URL, s.Platform.Timeout), log)
	listeners, err := daemon.Listen(s.Listen)
	if err != nil {
		log.Error("not started", zap.Error(err))
		return exitFailed
	}
	if err := d.Run(ctx, listeners); err != nil {
		log.Error("stopped", zap.Error(err))
		return exitFailed
	}
	log.Info("stopped cleanly")
	return exitOK
}

// newLogger returns a logger that writes to standard error.
func newLogger(level string) (*zap.Logger, error) {
	return telemetry.Logger(level, zapcore.Lock(os.Stderr))
}

func addCheck(app *kingpin.Application, run action) {
	cmd := app.Command("check", "Check settings, templates, workspaces and services; print all findings at once.")
	files := cmd.Arg("file", "INI files. A file with a [daemon] section is checked as settings; all others together as one configuration.").Required().ExistingFiles()
	cmd.Action(run(func(context.Context) int { return checkFiles(*files) }))
}

// checkFiles checks settings files, recognised by their [daemon] section, and all other
// files as parts of one configuration. It prints every finding.
func checkFiles(files []string) int {
	var list findings.List
	edit := catalog.NewEdit()
	for _, name := range files {
		data, err := os.ReadFile(name)
		if err != nil {
			list.Add(findings.Finding{File: name, Message: err.Error()})
			continue
		}
		if findings.HasSection(data, "daemon") {
			settings.Parse(name, data, &list)
		} else {
			edit.Parse(name, data, &list)
		}
	}
	edit.Check(edit.Doc, &list)
	for _, f := range list.Items() {
		fmt.Println(f)
	}
	if !list.Empty() {
		return exitFailed
	}
	fmt.Printf("%d files, no findings\n", len(files))
	return exitOK
}
