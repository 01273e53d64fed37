package thcommand

import (
	"bufio"
	"context"
	"fmt"
	"slices"
	"strings"

	"tamarackhollow/core/thconfig"
	"tamarackhollow/core/thdiff"
	"tamarackhollow/core/therror"
	"tamarackhollow/core/thtemplate"
	"tamarackhollow/io/thoperator"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// changer holds the flags of the commands that make changes.
type changer struct {
	remote
	yes      bool
	dryRun   bool
	changeID string
}

// changed is what a command prints about a change.
type changed struct {
	ChangeID    string        `json:"changeId,omitempty"`
	Differences []thdiff.Line `json:"differences"`
	thoperator.ApplyResult
}

// Apply makes templates and deployments out of files.
func Apply(s Streams) *ffcli.Command {
	c := &changer{remote: remote{streams: s}}
	fs := c.flagSet("apply")
	var set parameterFlags
	fs.BoolVar(&c.yes, "yes", false, "make the change without asking")
	fs.BoolVar(&c.dryRun, "dryRun", false, "only show the differences")
	fs.StringVar(&c.changeID, "changeId", "", "name of the change, to repeat one whose answer was lost")
	fs.Var(&set, "set", "name=value: set a parameter of the deployment; can be given several times")
	return &ffcli.Command{
		Name:       "apply",
		ShortUsage: "tamarackhollow apply [flags] FILE…",
		ShortHelp:  "make templates and deployments out of files, after showing the differences",
		FlagSet:    fs,
		Options:    options(),
		Exec: func(ctx context.Context, args []string) error {
			if len(args) == 0 {
				return usage("usage: tamarackhollow apply [flags] FILE…")
			}
			return c.applyFiles(ctx, args, set)
		},
	}
}

func (c *changer) applyFiles(ctx context.Context, paths []string, set parameterFlags) error {
	files, err := readFiles(paths)
	if err != nil {
		return err
	}
	// Templates go first, since deployments are made from them.
	slices.SortStableFunc(files, func(a, b file) int { return int(a.kind) - int(b.kind) })
	for i, f := range files {
		change, err := f.change(set)
		if err != nil {
			return err
		}
		id := c.changeID
		if id != "" && len(files) > 1 {
			id = fmt.Sprintf("%s-%d", id, i+1)
		}
		if err := c.make(ctx, id, change); err != nil {
			return err
		}
	}
	return nil
}

func (f file) change(set parameterFlags) (thconfig.Change, error) {
	switch f.kind {
	case fileTemplate:
		t, err := thtemplate.Parse(string(f.data))
		if err != nil {
			return nil, f.wrap(err)
		}
		return thconfig.PutTemplate{Template: t.Stored()}, nil
	case fileDeployment:
		q, err := thtemplate.ParseRequest(string(f.data))
		if err != nil {
			return nil, f.wrap(err)
		}
		for _, p := range set {
			q = q.WithParameter(p)
		}
		return thconfig.PutDeployment{Deployment: thconfig.Deployment{
			Name: q.Deployment, Template: q.Template, Parameters: q.Parameters,
		}}, nil
	}
	return nil, usage("%s is neither a template nor a deployment", f.path)
}

// make shows what a change does, asks, and makes it on exactly the version
// that was shown.
func (c *changer) make(ctx context.Context, id string, change thconfig.Change) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	ctx, cancel := c.bounded(ctx)
	defer cancel()
	if id != "" {
		// A repeated change is not compared: it may have been made already.
		return c.send(ctx, client, thoperator.ApplyRequest{ChangeID: id, Change: change}, nil)
	}
	d, err := client.DryRun(ctx, change)
	if err != nil {
		return err
	}
	if c.dryRun || len(d.Differences) == 0 {
		return c.print(changed{Differences: d.Differences, ApplyResult: d.ApplyResult})
	}
	if err := c.confirm(d.Differences); err != nil {
		return err
	}
	if id, err = client.NewChangeID(); err != nil {
		return err
	}
	q := thoperator.ApplyRequest{ChangeID: id, Precondition: d.Base, Change: change}
	return c.send(ctx, client, q, d.Differences)
}

func (c *changer) send(ctx context.Context, client *thoperator.Client, q thoperator.ApplyRequest, shown []thdiff.Line) error {
	r, err := client.ApplyUntilAccepted(ctx, q)
	if err != nil {
		return therror.Wrap(therror.KindOf(err), err, "change %s", q.ChangeID)
	}
	out := changed{ChangeID: q.ChangeID, Differences: shown, ApplyResult: r}
	if err := c.print(out); err != nil {
		return err
	}
	if r.State != thoperator.StateAccepted {
		return errSpreading
	}
	return nil
}

// confirm asks the operator unless --yes or --json was given.
func (c *changer) confirm(lines []thdiff.Line) error {
	if c.yes || c.json {
		return nil
	}
	printDifferences(c.streams, lines)
	_, _ = fmt.Fprint(c.streams.Err, "make this change? [y/N] ")
	answer, _ := bufio.NewReader(c.streams.In).ReadString('\n')
	if strings.TrimSpace(strings.ToLower(answer)) != "y" {
		return errDeclined
	}
	return nil
}

func (c *changer) print(r changed) error {
	if c.json {
		return printJSON(c.streams.Out, r)
	}
	if r.State == thoperator.StateChecked || c.yes {
		printDifferences(c.streams, r.Differences)
	}
	switch {
	case r.State == thoperator.StateChecked && len(r.Differences) == 0:
		_, _ = fmt.Fprintln(c.streams.Out, "no difference, nothing to change")
	case r.State == thoperator.StateChecked:
		_, _ = fmt.Fprintf(c.streams.Out, "checked, not made: would be version %d\n", r.Version)
	case r.State == thoperator.StateAccepted:
		_, _ = fmt.Fprintf(c.streams.Out, "accepted as version %d\n", r.Version)
	default:
		_, _ = fmt.Fprintf(c.streams.Out, "stored as version %d, spreading: %d of %d\n", r.Version, r.Acknowledged, r.Of)
	}
	return nil
}

var signs = map[thdiff.Sign]string{thdiff.Added: "+", thdiff.Removed: "-", thdiff.Changed: "~"}

func printDifferences(s Streams, lines []thdiff.Line) {
	for _, l := range lines {
		text := fmt.Sprintf("%s %s %s", signs[l.Sign], l.Item, l.Name)
		switch l.Sign {
		case thdiff.Added:
			text += ": " + l.After
		case thdiff.Removed:
			text += ": " + l.Before
		case thdiff.Changed:
			text += fmt.Sprintf(" %s: %s -> %s", l.Field, orNone(l.Before), orNone(l.After))
		}
		_, _ = fmt.Fprintln(s.Out, text)
	}
}

func orNone(s string) string {
	if s == "" {
		return "(none)"
	}
	return s
}

// parameterFlags are parameters given as name=value.
type parameterFlags []thconfig.Parameter

// String is empty: there are no defaults to show.
func (p *parameterFlags) String() string { return "" }

// Set adds a parameter. A value that is not JSON counts as a text.
func (p *parameterFlags) Set(s string) error {
	name, value, ok := strings.Cut(s, "=")
	if !ok {
		return usage("%q must be name=value", s)
	}
	v, err := thtemplate.ParseValue(name, value)
	if err != nil {
		return err
	}
	*p = append(*p, v)
	return nil
}
