package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/juju/errors"

	"pearlanding/internal/front"
	"pearlanding/internal/objectapi"
	"pearlanding/internal/quarantine"
	"pearlanding/platform"
)

// addRefused adds the commands for requests that daemons refuse because such requests
// crashed the instances that ran them. The commands use the platform's store; no daemon
// needs to run.
func addRefused(app *kingpin.Application, run action) {
	cmd := app.Command("refused", "Manage requests that daemons refuse because they crashed the instances that ran them.")
	store := cmd.Flag("store", "Address of the platform's store, IP:port.").Envar("PEARLANDING_STORE").Required().String()
	list := cmd.Command("list", "List the refused requests, and those that one more crash would add.")
	asJSON := list.Flag("json", "Print the store's record as JSON.").Bool()
	list.Action(run(func(ctx context.Context) int { return listRefused(ctx, *store, *asJSON) }))
	release := cmd.Command("release", "Allow a request to be sent again, for example after instances were upgraded to a version that can run it.")
	digest := release.Arg("digest", "Digest of the request, or a prefix of it.").Required().String()
	release.Action(run(func(ctx context.Context) int { return releaseRefused(ctx, *store, *digest) }))
}

func listRefused(ctx context.Context, store string, asJSON bool) int {
	s, err := quarantine.List(ctx, platform.NewStore(store), front.RefusedRequestsKey)
	if err != nil {
		return fail(err)
	}
	if asJSON {
		enc := json.NewEncoder(os.Stdout)
		enc.SetIndent("", "  ")
		if err := enc.Encode(s); err != nil {
			return fail(err)
		}
		return exitOK
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "DIGEST\tWORKSPACE\tSTATE\tENDED\tCHANGED")
	for i := range s.Contents {
		c := &s.Contents[i]
		state := "marked"
		switch {
		case c.Quarantined():
			state = "refused"
		case c.Released > 0:
			state = "released"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\n", c.Digest, c.Workspace, state, len(c.Crashes), c.ChangedAt.UTC().Format(time.RFC3339))
	}
	if err := w.Flush(); err != nil {
		return fail(err)
	}
	return exitOK
}

func releaseRefused(ctx context.Context, store, prefix string) int {
	d, err := quarantine.Release(ctx, platform.NewStore(store), front.RefusedRequestsKey, prefix, time.Now())
	switch {
	case errors.Is(err, objectapi.ErrConflict):
		fmt.Fprintln(os.Stderr, "daemons kept changing the record; nothing was changed, try again")
		return exitConflict
	case errors.Is(err, objectapi.ErrUnknownOutcome):
		fmt.Fprintln(os.Stderr, "no answer from the store; check with \"refused list\" whether the request was released")
		return exitUnknown
	case err != nil:
		return fail(err)
	}
	fmt.Println("released", d)
	return exitOK
}
