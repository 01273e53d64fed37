package thcommand

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"tamarackhollow/core/thsettings"
	"tamarackhollow/io/thoperator"

	"github.com/peterbourgon/ff/v3/ffcli"
)

const explainUsage = "explain [flags] URL"

// explainCommand holds the streams and flags of the explain command.
type explainCommand struct {
	remoteCommand
	query thoperator.ExplainQuery
	all   bool
}

// Explain returns the command that shows what a VM would do with a request.
func Explain(s Streams) *ffcli.Command {
	e := &explainCommand{remoteCommand: remoteCommand{streams: s}}
	fs := e.newFlagSet("explain")
	fs.StringVar(&e.query.Host, "host", "", "host of the request, if URL is a path or has another host")
	fs.StringVar(&e.query.Method, "method", http.MethodGet, "method of the request")
	fs.StringVar(&e.query.Key, "key", "", "customer's key; better given in the environment variable "+thsettings.EnvironmentPrefix+"_KEY")
	fs.StringVar(&e.query.Customer, "customer", "", "customer's name, in place of its key")
	fs.IntVar(&e.query.BodyBytes, "bodyBytes", 0, "length of the body")
	fs.Int64Var(&e.query.TimeoutMillis, "timeoutMillis", 0, "how long the caller waits, in milliseconds; 0 means that the request does not say")
	fs.BoolVar(&e.all, "all", false, "also show the targets that only other VMs use")
	return &ffcli.Command{
		Name:       "explain",
		ShortUsage: "tamarackhollow " + explainUsage,
		ShortHelp:  "show what one VM would do with a request now, and why, without sending it",
		LongHelp:   "URL is a whole URL, or a path with --host. The first VM of --operators that answers explains its own view; other VMs may differ.",
		FlagSet:    fs,
		Options:    flagOptions(),
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return newUsageError("usage: tamarackhollow %s", explainUsage)
			}
			return e.explain(ctx, args[0])
		},
	}
}

// explain fetches the explanation and prints it. It returns errWouldRefuse if the request would be
// refused.
func (e *explainCommand) explain(ctx context.Context, target string) error {
	if err := e.complete(target); err != nil {
		return err
	}
	c, err := e.newClient()
	if err != nil {
		return err
	}
	ctx, cancel := e.withTimeout(ctx)
	defer cancel()
	x, err := c.Explain(ctx, e.query)
	if err != nil {
		return err
	}
	if err := e.print(x); err != nil {
		return err
	}
	if x.Outcome == thoperator.OutcomeRefused {
		return errWouldRefuse
	}
	return nil
}

// complete adds the URL to the query, and returns a usage error if the query is no request.
func (e *explainCommand) complete(target string) error {
	u, err := url.Parse(target)
	if err != nil {
		return newUsageError("%v", err)
	}
	e.query.URI = u.RequestURI()
	if e.query.Host == "" {
		e.query.Host = u.Host
	}
	switch {
	case e.query.Host == "":
		return newUsageError("no host is given: use a whole URL or --host")
	case !strings.HasPrefix(e.query.URI, "/"):
		return newUsageError("%q: the path must begin with a slash", target)
	case e.query.Key != "" && e.query.Customer != "":
		return newUsageError("--key and --customer exclude each other")
	case e.query.BodyBytes < 0 || e.query.TimeoutMillis < 0:
		return newUsageError("--bodyBytes and --timeoutMillis must not be negative")
	}
	return nil
}

func (e *explainCommand) print(x thoperator.Explanation) error {
	if e.json {
		return printJSON(e.streams.Out, x)
	}
	out := e.streams.Out
	_, _ = fmt.Fprintf(out, "%s\n\n", outcomeText(x))
	if err := writeTable(out, []string{"about", "what the VM knows"}, explainedFacts(x)); err != nil {
		return err
	}
	return e.printExplainedTargets(x)
}

// outcomeText returns the line that says what would become of the request.
func outcomeText(x thoperator.Explanation) string {
	condition := ""
	if x.Customer != nil {
		condition = admissionConditions[x.Customer.Admission]
	}
	switch x.Outcome {
	case thoperator.OutcomeRefused:
		text := fmt.Sprintf("would be refused: %d %s: %s", x.Refusal.Status, x.Refusal.Error, x.Refusal.Detail)
		if x.Refusal.RetryAfterMillis > 0 {
			text += fmt.Sprintf(", Retry-After %v", spanOf(x.Refusal.RetryAfterMillis))
		}
		return text
	case thoperator.OutcomeWaits:
		return fmt.Sprintf("would wait up to %v for a slot; the best target now is %s", spanOf(x.WaitMillis), orNone(x.Picked)) + condition
	}
	return "would be sent to " + orNone(x.Picked) + condition
}

// admissionConditions are what has to come true first for a request that is not refused.
var admissionConditions = map[string]string{
	thoperator.AdmissionAsksOwner:  ", if an owner of the customer's limit has a token",
	thoperator.AdmissionAwaitsJoin: ", once the VM has joined the fleet and has a token of the customer's limit",
}

// explainedFacts returns the rows on all but the targets.
func explainedFacts(x thoperator.Explanation) [][]string {
	rows := [][]string{{"vm", fmt.Sprintf("%s, zone %s, %s, table version %d", x.VM, x.Zone, x.State, x.TableVersion)}}
	if r := x.Route; r != nil {
		repeats := "not repeated"
		if r.IsIdempotent {
			repeats = "idempotent"
		}
		rows = append(rows, []string{"route", fmt.Sprintf("%s, %s, priority %d, objective %v, timeout %v", r.Name, repeats, r.Priority, spanOf(r.ObjectiveMillis), spanOf(r.TimeoutMillis))})
	}
	if c := x.Customer; c != nil {
		rows = append(rows, []string{"customer", fmt.Sprintf("%s, priority %d, %s", c.Name, c.Priority, limitText(*c))})
	}
	if x.Service != "" {
		rows = append(rows, []string{"service", fmt.Sprintf("%s, expected latency %.1f ms", x.Service, x.ExpectedLatencyMillis)})
	}
	if x.KeepsFloor {
		rows = append(rows, []string{"pick", "keeps the floor: too few targets are in use"})
	}
	if x.IsBodyUnknown {
		rows = append(rows, []string{"quarantine", "not known without the body"})
	}
	return rows
}

// limitText formats the customer's limit and what would be done to admit the request.
func limitText(c thoperator.ExplainedCustomer) string {
	if c.Rate <= 0 {
		return "no limit"
	}
	limit := fmt.Sprintf("limit %g/s and burst %g", c.Rate, c.Burst)
	switch c.Admission {
	case thoperator.AdmissionAdmitted:
		return limit + ", this VM admits it"
	case thoperator.AdmissionAsksOwner:
		return fmt.Sprintf("%s, %s is asked for a token", limit, c.Owner)
	case thoperator.AdmissionAwaitsJoin:
		return limit + ", the VM has not joined the fleet"
	}
	return limit
}

// printExplainedTargets prints the candidates and the other targets whose state keeps requests away,
// or all with --all.
func (e *explainCommand) printExplainedTargets(x thoperator.Explanation) error {
	if x.Service == "" {
		return nil
	}
	var rows [][]string
	left := 0
	for _, t := range x.Targets {
		if state := targetStateText(t); e.all || t.IsCandidate || state != "" {
			rows = append(rows, explainedTargetRow(x, t, state))
		} else {
			left++
		}
	}
	_, _ = fmt.Fprintln(e.streams.Out)
	headings := []string{"target", "zone", "considered", "cost", "requests", "slots", "wait", "failure probability", "latency ratio", "state"}
	if err := writeTable(e.streams.Out, headings, rows); err != nil {
		return err
	}
	if left > 0 {
		_, _ = fmt.Fprintf(e.streams.Out, "%d more targets are used by other VMs only; --all shows them\n", left)
	}
	return nil
}

// explainedTargetRow returns the cells of a target's row.
func explainedTargetRow(x thoperator.Explanation, t thoperator.ExplainedTarget, state string) []string {
	considered, cost, wait := "no", "", ""
	if t.IsCandidate {
		considered, cost, wait = "yes", fmt.Sprintf("%.3f", t.Cost), fmt.Sprintf("%.1f ms", t.WaitMillis)
	}
	switch {
	case t.Excluded != "":
		considered = "no: " + t.Excluded
	case t.Target == x.Picked:
		considered = "best"
	case t.IsExtra:
		considered = "drawn"
	}
	return []string{
		t.Target, t.Zone, considered, cost, strconv.Itoa(t.Requests), strconv.Itoa(t.Slots), wait,
		fmt.Sprintf("%.1f%%", float64(t.FailurePerMille)/10), fmt.Sprintf("%.2f", t.LatencyRatio), state,
	}
}

// targetStateText lists what keeps requests away from the target, apart from its cost.
func targetStateText(t thoperator.ExplainedTarget) string {
	var states []string
	add := func(holds bool, state string) {
		if holds {
			states = append(states, state)
		}
	}
	add(t.IsLeaving, "leaving")
	add(t.IsDraining && !t.IsLeaving, "draining")
	add(t.IsEvacuated, "evacuated")
	add(t.PausedMillis > 0, "paused for "+spanOf(t.PausedMillis).String())
	add(t.ColdMillis > 0, "cold for "+spanOf(t.ColdMillis).String())
	return strings.Join(states, ", ")
}

func spanOf(millis int64) time.Duration { return time.Duration(millis) * time.Millisecond }

func orNone(target string) string {
	if target == "" {
		return "none"
	}
	return target
}
