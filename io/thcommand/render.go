package thcommand

import (
	"context"
	"flag"

	"tamarackhollow/core/therror"
	"tamarackhollow/core/thtemplate"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// Render prints the routing table that a deployment comes to.
func Render(s Streams) *ffcli.Command {
	fs := flag.NewFlagSet("tamarackhollow render", flag.ContinueOnError)
	fs.SetOutput(s.Err)
	version := fs.Uint64("version", 1, "version of the table")
	return &ffcli.Command{
		Name:       "render",
		ShortUsage: "tamarackhollow render [--version N] TEMPLATE DEPLOYMENT",
		ShortHelp:  "print the routing table of a deployment made from a template, as JSON",
		FlagSet:    fs,
		Exec: func(_ context.Context, args []string) error {
			if len(args) != 2 {
				return usage("usage: tamarackhollow render [--version N] TEMPLATE DEPLOYMENT")
			}
			return render(s, args, *version)
		},
	}
}

func render(s Streams, paths []string, version uint64) error {
	files, err := readFiles(paths)
	if err != nil {
		return err
	}
	t, err := thtemplate.Parse(string(files[0].data))
	if err != nil {
		return files[0].wrap(err)
	}
	q, err := thtemplate.ParseRequest(string(files[1].data))
	if err != nil {
		return files[1].wrap(err)
	}
	if q.Template != t.Name() {
		return files[1].wrap(therror.New(therror.ChangeInvalid, "the deployment is made from template %s, not %s", q.Template, t.Name()))
	}
	e, err := t.Expand(q.Deployment, q.Parameters)
	if err != nil {
		return files[1].wrap(err)
	}
	return printJSON(s.Out, e.Document(version))
}
