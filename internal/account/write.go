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

// maxShownSeconds is how many seconds the table shows: those with the most requests not in time.
const maxShownSeconds = 12

// maxShownVersions is how many versions of the configuration the table shows: those with the
// oldest proofs.
const maxShownVersions = 6

// Write writes the report to w as text tables. It fails with the errors of w.
func (r Report) Write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "%d requests\n\ncause\trequests\tof 1,000\tmedian ms\n", r.Requests)
	for _, c := range r.Causes {
		fmt.Fprintf(t, "%s\t%d\t%.1f\t%d\n", c.Cause, c.Count, 1000*float64(c.Count)/float64(max(r.Requests, 1)), c.MedianMS)
	}
	fmt.Fprint(t, "\nkind\trequests\tin time\tmost of the others\n")
	for _, k := range r.Kinds {
		fmt.Fprintf(t, "%s\t%d\t%.3f\t%s\n", k.Kind, k.Total, float64(k.Counts[InTime])/float64(max(k.Total, 1)), otherCauses(k.Counts))
	}
	fmt.Fprint(t, "\nsecond\trequests\tin time\tmost of the others\n")
	for _, s := range r.worstSeconds() {
		fmt.Fprintf(t, "%s\t%d\t%.3f\t%s\n", s.At.Format("15:04:05"), s.Total, float64(s.Counts[InTime])/float64(max(s.Total, 1)), otherCauses(s.Counts))
	}
	fmt.Fprint(t, "\nconfiguration\trequests\tdaemons\toldest proof ms\tat\n")
	for _, v := range r.Versions[:min(len(r.Versions), maxShownVersions)] {
		fmt.Fprintf(t, "%d\t%d\t%d\t%d\t%s %s\n", v.Version, v.Requests, v.Daemons, v.OldestProofMS, v.At.Format("15:04:05.000"), v.Daemon)
	}
	if len(r.Cuts) > 0 {
		fmt.Fprint(t, "\nbegun streams cut\treason\tfirst send\tits replica\tlast send\n")
	}
	for _, c := range r.Cuts {
		replica := "-"
		if c.ReplicaAtWork {
			replica = "at work"
		}
		fmt.Fprintf(t, "%d\t%s\t%s\t%s\t%s\n", c.Count, c.Reason, c.FirstEnd, replica, cmp.Or(c.LastEnd, "-"))
	}
	return t.Flush()
}

// worstSeconds returns the maxShownSeconds seconds with the most requests not in time, in order
// of time. Seconds whose requests were all in time are left out.
func (r Report) worstSeconds() []SecondSummary {
	missed := func(s SecondSummary) int { return s.Total - s.Counts[InTime] }
	threshold := 0
	if len(r.Seconds) > maxShownSeconds {
		all := make([]int, 0, len(r.Seconds))
		for _, s := range r.Seconds {
			all = append(all, missed(s))
		}
		threshold = nthLargest(all, maxShownSeconds)
	}
	var out []SecondSummary
	for _, s := range r.Seconds {
		if missed(s) >= max(threshold, 1) && len(out) < maxShownSeconds {
			out = append(out, s)
		}
	}
	return out
}

// otherCauses lists the three most frequent causes other than InTime.
func otherCauses(counts map[Cause]int) string {
	var parts []string
	for _, c := range sortedByCount(counts) {
		if c == InTime || len(parts) == 3 {
			continue
		}
		parts = append(parts, fmt.Sprintf("%s %d", c, counts[c]))
	}
	return strings.Join(parts, ", ")
}

// sortedByCount returns the causes, the most frequent first.
func sortedByCount(counts map[Cause]int) []Cause {
	return slices.SortedFunc(maps.Keys(counts), func(a, b Cause) int { return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b)) })
}

// nthLargest returns the n-th largest of all, which must hold n numbers or more. It sorts all in
// descending order.
func nthLargest(all []int, n int) int {
	slices.SortFunc(all, func(a, b int) int { return cmp.Compare(b, a) })
	return all[n-1]
}
