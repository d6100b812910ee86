package cmd

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"goldcreststand.example/schema/wire"
)

// printWhere prints the answer of one instance, with at most n servers, or all for 0.
func printWhere(w io.Writer, a *wire.Where, n int) error {
	t := new(textTable)
	t.add("call", callText(a))
	t.add("instance", fmt.Sprintf("%s in %s, configuration %d", a.ID, a.Domain, a.Config))
	if a.Route != nil {
		t.add("route", fmt.Sprintf("%s (%s)", *a.Route, text(a.Kind)))
	}
	if a.Service != nil {
		t.add("service", fmt.Sprintf("%s, %d calls wait, %s", *a.Service, a.Queued, policyText(a)))
	}
	t.add("verdict", verdictText(a))
	if a.Crossing != nil {
		t.add("domain", crossingText(a.Crossing))
		for _, d := range a.Crossing.Neighbours {
			t.add("", fmt.Sprintf("%s has %d servers and takes %.2f of the calls", d.Domain, d.Servers, d.Room))
		}
	}
	if err := t.print(w); err != nil || len(a.Candidates) == 0 {
		return err
	}
	if _, err := fmt.Fprintln(w); err != nil {
		return err
	}
	return printCandidates(w, a.Candidates, n)
}

func callText(a *wire.Where) string {
	if a.Tenant != nil {
		return fmt.Sprintf("%s %s of organisation %s", a.Host, a.Path, *a.Tenant)
	}
	return a.Host + " " + a.Path
}

func policyText(a *wire.Where) string {
	work := ""
	if a.Work != nil && *a.Work > 0 {
		work = fmt.Sprintf(", work %g ms", *a.Work)
	}
	if a.Policy != nil && *a.Policy == wire.WherePolicyDeadline {
		return "waits by the deadline" + work
	}
	return "waits for a part of the target latency" + work
}

func verdictText(a *wire.Where) string {
	to := fmt.Sprintf("to %s, version %s", text(a.Server), text(a.Version))
	if a.Trial {
		to += " in rollout"
	}
	switch {
	case a.Verdict == wire.WhereVerdictSend:
		return "send " + to
	case a.Verdict == wire.WhereVerdictWait:
		return fmt.Sprintf("wait %g ms, then send %s", a.Wait, to)
	case a.Retry > 0:
		return fmt.Sprintf("refuse after %g ms: %s; retry after %g ms", a.Wait, a.Cause, a.Retry)
	default:
		return fmt.Sprintf("refuse after %g ms: %s", a.Wait, a.Cause)
	}
}

func crossingText(c *wire.Crossing) string {
	where := "stays at home"
	if c.Cross {
		where = "leaves the failure domain"
	}
	if c.Order == wire.CrossingOrderFixed || c.Reason == nil {
		return where + " (others after two waits, or when none replies)"
	}
	return fmt.Sprintf("%s (%s): response from home in %g ms, from elsewhere in %g ms; %d bytes are worth %g ms; %.2f of the calls found no room, %.2f may leave",
		where, *c.Reason, c.Home, c.Away, c.Bytes, c.Price, c.Need, c.Share)
}

// printCandidates prints the first n servers, and how many are in each state of the rest.
func printCandidates(w io.Writer, cs []wire.Candidate, n int) error {
	if n <= 0 || n > len(cs) {
		n = len(cs)
	}
	t := newTextTable("SERVER", "DOMAIN", "VERSION", "STATE", "DRAWN", "RUNNING", "WAITING", "SLOTS", "SLOWNESS", "COST", "AGE")
	for i := range cs[:n] {
		c := &cs[i]
		age := "unknown"
		if c.Known {
			age = fmt.Sprintf("%g ms", c.Age)
		}
		t.add(c.Server, c.Domain, c.Version, c.State, c.Drawn, c.Running, c.Waiting, c.Slots, c.Slowness, c.Cost, age)
	}
	if err := t.print(w); err != nil || n == len(cs) {
		return err
	}
	states := make(map[string]int)
	for i := range cs[n:] {
		states[string(cs[n+i].State)]++
	}
	var rest []string
	for _, s := range slices.Sorted(maps.Keys(states)) {
		rest = append(rest, fmt.Sprintf("%d %s", states[s], s))
	}
	_, err := fmt.Fprintf(w, "and %d more: %s\n", len(cs)-n, strings.Join(rest, ", "))
	return err
}

// printDifferences prints a line for each instance, and what differs between them.
func printDifferences(w io.Writer, answers []wire.Where) error {
	slices.SortFunc(answers, func(a, b wire.Where) int { return strings.Compare(a.ID, b.ID) })
	t := newTextTable("INSTANCE", "DOMAIN", "VERDICT", "DOMAIN DECISION", "SHARE")
	facts := make(map[string]map[string][]string)
	for i := range answers {
		a := &answers[i]
		decision, share := "", ""
		if c := a.Crossing; c != nil {
			decision = fmt.Sprintf("%s, cross=%t", c.Order, c.Cross)
			if c.Reason != nil {
				decision += ", " + c.Reason.String()
			}
			share = fmt.Sprintf("%.2f", c.Share)
		}
		t.add(a.ID, a.Domain, verdictText(a), decision, share)
		for name, value := range factsOf(a) {
			if facts[name] == nil {
				facts[name] = make(map[string][]string)
			}
			facts[name][value] = append(facts[name][value], a.ID)
		}
	}
	if err := t.print(w); err != nil {
		return err
	}
	return printFacts(w, facts, len(answers))
}

// factsOf returns what should be the same at all instances.
func factsOf(a *wire.Where) map[string]string {
	out := map[string]string{
		"configuration": fmt.Sprint(a.Config), "route": text(a.Route), "service": text(a.Service),
		"verdict": strings.TrimSpace(string(a.Verdict) + " " + a.Cause),
	}
	for i := range a.Candidates {
		out["server "+a.Candidates[i].Server] = string(a.Candidates[i].State)
	}
	return out
}

// printFacts prints the facts that differ. An instance that does not have a fact differs from those that have.
func printFacts(w io.Writer, facts map[string]map[string][]string, instances int) error {
	t := newTextTable("DIFFERENCE", "VALUE", "INSTANCES")
	for _, name := range slices.Sorted(maps.Keys(facts)) {
		known := 0
		for _, ids := range facts[name] {
			known += len(ids)
		}
		if len(facts[name]) == 1 && known == instances {
			continue
		}
		for _, value := range slices.Sorted(maps.Keys(facts[name])) {
			t.add(name, value, strings.Join(facts[name][value], " "))
		}
		if known < instances {
			t.add(name, "unknown", fmt.Sprintf("%d others", instances-known))
		}
	}
	if len(t.lines) == 1 {
		_, err := fmt.Fprintln(w, "\nno differences")
		return err
	}
	if _, err := fmt.Fprintln(w); err != nil {
		return err
	}
	return t.print(w)
}

func text(s *string) string {
	if s == nil {
		return ""
	}
	return *s
}
