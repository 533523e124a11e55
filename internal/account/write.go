package account

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// worstSeconds is how many seconds the text shows, those with most requests not in time.
const worstSeconds = 12

// oldestProofs is how many versions of the configuration the text shows, those with the
// oldest proof.
const oldestProofs = 6

// Write renders the account for a reader.
func (r Report) Write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "%d requests\n\ncause\trequests\tof 1,000\tmedian ms\n", r.Requests)
	for _, c := range r.Causes {
		fmt.Fprintf(t, "%s\t%d\t%.1f\t%d\n", c.Cause, c.Count, 1000*float64(c.Count)/float64(max(r.Requests, 1)), c.MedianMS)
	}
	fmt.Fprint(t, "\nkind\trequests\tin time\tmost of the others\n")
	for _, k := range r.Kinds {
		fmt.Fprintf(t, "%s\t%d\t%.3f\t%s\n", k.Kind, k.Total, float64(k.Counts[InTime])/float64(max(k.Total, 1)), others(k.Counts))
	}
	fmt.Fprint(t, "\nsecond\trequests\tin time\tmost of the others\n")
	for _, s := range r.worst() {
		fmt.Fprintf(t, "%s\t%d\t%.3f\t%s\n", s.At.Format("15:04:05"), s.Total, float64(s.Counts[InTime])/float64(max(s.Total, 1)), others(s.Counts))
	}
	fmt.Fprint(t, "\nconfiguration\trequests\tdaemons\toldest proof ms\tat\n")
	for _, v := range r.Versions[:min(len(r.Versions), oldestProofs)] {
		fmt.Fprintf(t, "%d\t%d\t%d\t%d\t%s %s\n", v.Version, v.Requests, v.Daemons, v.OldestProofMS, v.At.Format("15:04:05.000"), v.Daemon)
	}
	return t.Flush()
}

// worst returns the seconds with most requests that were not in time, in order of time.
func (r Report) worst() []Second {
	missed := func(s Second) int { return s.Total - s.Counts[InTime] }
	least := 0
	if len(r.Seconds) > worstSeconds {
		all := make([]int, 0, len(r.Seconds))
		for _, s := range r.Seconds {
			all = append(all, missed(s))
		}
		least = nthLargest(all, worstSeconds)
	}
	var out []Second
	for _, s := range r.Seconds {
		if missed(s) >= max(least, 1) && len(out) < worstSeconds {
			out = append(out, s)
		}
	}
	return out
}

// others lists the three most frequent causes but the first.
func others(counts map[Cause]int) string {
	var parts []string
	for _, c := range byCount(counts) {
		if c == InTime || len(parts) == 3 {
			continue
		}
		parts = append(parts, fmt.Sprintf("%s %d", c, counts[c]))
	}
	return strings.Join(parts, ", ")
}

// byCount returns the causes, most frequent first.
func byCount(counts map[Cause]int) []Cause {
	return slices.SortedFunc(maps.Keys(counts), func(a, b Cause) int { return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b)) })
}

// nthLargest returns the n-th largest of more than n numbers.
func nthLargest(all []int, n int) int {
	slices.SortFunc(all, func(a, b int) int { return cmp.Compare(b, a) })
	return all[n-1]
}
