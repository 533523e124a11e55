package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
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
	list := cmd.Command("list", "List the refused contents and parts of prompts, and those that one more crash would add.")
	asJSON := list.Flag("json", "Print the store's record as JSON.").Bool()
	list.Action(run(func(ctx context.Context) int { return listRefused(ctx, *store, *asJSON) }))
	release := cmd.Command("release", "Allow requests to be sent again, for example after instances were upgraded to a version that can run them.")
	digest := release.Arg("digest", "Digest of the content or part, or a prefix of it, or the id of the part.").Required().String()
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
	if err := printRefused(os.Stdout, &s); err != nil {
		return fail(err)
	}
	return exitOK
}

// printRefused prints the contents and parts as a table. WITH names the traits without which a request with
// this one is sent: parts by id, contents by the beginning of their digest.
func printRefused(out io.Writer, s *quarantine.Snapshot) error {
	names := map[quarantine.Digest]string{}
	for c := range s.All() {
		names[c.Digest] = c.Part
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "DIGEST\tWORKSPACE\tMODEL\tPART\tSTATE\tENDED\tWITH\tCHANGED")
	for c := range s.All() {
		var with []string
		for _, d := range c.Companions {
			with = append(with, cmp.Or(names[d], d.Short()))
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%s\t%s\n", c.Digest, c.Workspace, cmp.Or(c.Model, "-"), cmp.Or(c.Part, "-"),
			refusedState(c), len(c.Crashes), cmp.Or(strings.Join(with, ","), "-"), c.ChangedAt.UTC().Format(time.RFC3339))
	}
	return w.Flush()
}

func refusedState(c *quarantine.StoredTrait) string {
	switch {
	case c.Quarantined():
		return "refused"
	case c.Released > 0:
		return "released"
	}
	return "marked"
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
