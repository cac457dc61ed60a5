package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"lichentray/audit"
)

// defaultAccountLimit is the default number of failures to print.
const defaultAccountLimit = 100

// register defines the flags in a flag set.
func (f *accountFlags) register(fs *flag.FlagSet) {
	fs.StringVar(&f.filter.Tenant, "tenant", "", "")
	fs.StringVar(&f.filter.Request, "request", "", "")
	fs.StringVar((*string)(&f.filter.Kind), "kind", "", "")
	fs.StringVar(&f.since, "since", "", "")
	fs.StringVar(&f.until, "until", "", "")
	fs.IntVar(&f.filter.Limit, "most", defaultAccountLimit, "")
}

// buildFilter validates the flags and returns the filter that they describe.
func (f *accountFlags) buildFilter() (audit.Filter, error) {
	filter := f.filter
	var err error
	if filter.SinceMS, err = parseTimeOrAge("since", f.since); err != nil {
		return filter, err
	}
	if filter.UntilMS, err = parseTimeOrAge("until", f.until); err != nil {
		return filter, err
	}
	switch {
	case filter.Kind != "" && !slices.Contains(audit.FailureKinds(), filter.Kind):
		return filter, exitErrorf(exitUsage, "--kind: %q is not one of %v", filter.Kind, audit.FailureKinds())
	case filter.UntilMS > 0 && filter.UntilMS <= filter.SinceMS:
		return filter, exitErrorf(exitUsage, "--until must be after --since")
	case filter.Limit < 0:
		return filter, exitErrorf(exitUsage, "--most must not be negative")
	}
	return filter, nil
}

// parseTimeOrAge parses a time in RFC 3339 format, or an age relative to the current time such as
// "90m". It returns the time in milliseconds since the Unix epoch, or 0 for an empty text.
func parseTimeOrAge(flag, text string) (int64, error) {
	if text == "" {
		return 0, nil
	}
	if age, err := time.ParseDuration(text); err == nil && age >= 0 {
		return time.Now().Add(-age).UnixMilli(), nil
	}
	at, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return 0, exitErrorf(exitUsage, "--%s: %q is neither a time such as 2026-12-02T09:00:00Z nor a duration such as 90m", flag, text)
	}
	return at.UnixMilli(), nil
}

// printAccount is the command "account".
func (c *cli) printAccount() error {
	if len(c.args) > 0 {
		return exitErrorf(exitUsage, "account takes flags only, not %q", c.args[0])
	}
	filter, err := c.account.buildFilter()
	if err != nil {
		return err
	}
	body, err := json.Marshal(&filter)
	if err != nil {
		return err
	}
	var result audit.QueryResult
	if err := c.queryJSON("accounts.read", body, &result); err != nil {
		return err
	}
	if c.jsonOutput {
		return c.printResult("", result)
	}
	w := tabwriter.NewWriter(c.out, 2, 4, 2, ' ', 0)
	printFailures(w, result.Failures)
	printFailureCounts(w, &result)
	printMissingRecords(w, &result)
	fmt.Fprintln(w)
	return w.Flush()
}

func printFailures(w io.Writer, failures []audit.Failure) {
	fmt.Fprintln(w, "WHEN\tTENANT\tKIND\tREQUEST\tROUTE\tTRIES")
	for _, f := range failures {
		var attempts []string
		for _, a := range f.Attempts {
			attempts = append(attempts, fmt.Sprintf("%s at %s (%d, %d ms)", a.Kind, a.Node, a.Status, a.TookMS))
		}
		at := time.UnixMilli(f.AtMS).UTC().Format(time.RFC3339Nano)
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n",
			at, f.Tenant, f.Kind, f.Request, f.Attempts[0].Route, strings.Join(attempts, ", "))
	}
}

func printFailureCounts(w io.Writer, r *audit.QueryResult) {
	fmt.Fprintln(w, "\nTENANT\tKIND\tNUMBER")
	for _, tenant := range slices.Sorted(maps.Keys(r.Counts)) {
		for _, kind := range slices.Sorted(maps.Keys(r.Counts[tenant])) {
			fmt.Fprintf(w, "%s\t%s\t%d\n", tenant, kind, r.Counts[tenant][kind])
		}
	}
}

// printMissingRecords prints where failures are, or may be, missing from the audit log.
func printMissingRecords(w io.Writer, r *audit.QueryResult) {
	for _, id := range slices.Sorted(maps.Keys(r.Gaps)) {
		g := r.Gaps[id]
		if g.Gap {
			fmt.Fprintf(w, "\nGAP: %s (%s) ended unseen, up to %d requests are missing", id, g.Node, g.MayMiss)
		}
		if g.Dropped > 0 {
			fmt.Fprintf(w, "\nGAP: %s (%s) dropped %d records for its bound", id, g.Node, g.Dropped)
		}
	}
	for _, tenant := range slices.Sorted(maps.Keys(r.Dropped)) {
		fmt.Fprintf(w, "\nDROPPED: %d entries of %s for the account's bound", r.Dropped[tenant], tenant)
	}
	if len(r.Gaps)+len(r.Dropped) == 0 {
		fmt.Fprint(w, "\nnothing is missing")
	}
}
