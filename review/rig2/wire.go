package main

import (
	"embed"
	"encoding/json"
	"strings"
)

// wire holds the settings, the configuration and the names that the platform's pages give.
//
//go:embed wire
var wire embed.FS

// names are the platform's headers, fields and variables by their short names.
var names = func() (out map[string]string) {
	mustDecode("names.json", &out)
	return out
}()

// mustDecode decodes one of the files.
func mustDecode(file string, out any) {
	if err := json.Unmarshal(readWire(file), out); err != nil {
		panic(err)
	}
}

func readWire(file string) []byte {
	text, err := wire.ReadFile("wire/" + file)
	if err != nil {
		panic(err)
	}
	return text
}

// settingsText returns the text of a daemon's settings file; values replace the places of that name.
func settingsText(values ...string) string {
	return strings.NewReplacer(values...).Replace(string(readWire("settings.json")))
}

// config returns a configuration with two plain routes, a stream and one tenant.
func config(keys ...string) map[string]any {
	var out map[string]any
	mustDecode("config.json", &out)
	out["tenants"] = []any{map[string]any{"name": "hule930", names["keys"]: keys}}
	return out
}
