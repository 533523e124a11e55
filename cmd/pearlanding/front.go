package main

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"pearlanding/platform"
	"pearlanding/platform/launch"
)

func addFront(app *kingpin.Application, run action) {
	cmd := app.Command("front", "Run one daemon on the users' platform, configured by the platform's settings file.")
	file := cmd.Flag("settings", "Settings file.").Envar(platform.SettingsEnv).Required().String()
	metricsAddress := cmd.Flag("metrics", "Address on which /metrics is served.").String()
	level := cmd.Flag("log-level", "Log level: debug, info, warn or error.").Default("info").Enum("debug", "info", "warn", "error")
	cmd.Action(run(func(ctx context.Context) int {
		if err := launch.Run(ctx, launch.Options{SettingsFile: *file, MetricsAddress: *metricsAddress, LogLevel: *level}); err != nil {
			return fail(err)
		}
		return exitOK
	}))
}
