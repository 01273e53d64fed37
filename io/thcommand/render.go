package thcommand

import (
	"context"
	"flag"
	"strings"

	"tamarackhollow/core/thconfig"
	"tamarackhollow/core/therror"
	"tamarackhollow/core/thtemplate"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// Render prints the routing table that a deployment comes to.
func Render(s Streams) *ffcli.Command {
	fs := flag.NewFlagSet("tamarackhollow render", flag.ContinueOnError)
	fs.SetOutput(s.Err)
	version := fs.Uint64("version", 1, "version of the table")
	var overrides parameterFlag
	fs.Var(&overrides, "set", "name=value: set a parameter of the deployment; can be given several times")
	return &ffcli.Command{
		Name:       "render",
		ShortUsage: "tamarackhollow render [--version N] [--set name=value]… TEMPLATE DEPLOYMENT",
		ShortHelp:  "print the routing table of a deployment made from a template, as JSON",
		FlagSet:    fs,
		Exec: func(_ context.Context, args []string) error {
			if len(args) != 2 {
				return newUsageError("usage: tamarackhollow render [--version N] [--set name=value]… TEMPLATE DEPLOYMENT")
			}
			return render(s, args, *version, overrides)
		},
	}
}

func render(s Streams, paths []string, version uint64, overrides parameterFlag) error {
	files, err := readFiles(paths)
	if err != nil {
		return err
	}
	t, err := thtemplate.Parse(string(files[0].data))
	if err != nil {
		return files[0].withPath(err)
	}
	request, err := thtemplate.ParseRequest(string(files[1].data))
	if err != nil {
		return files[1].withPath(err)
	}
	if request.Template != t.Name() {
		return files[1].withPath(therror.New(therror.ChangeInvalid, "the deployment is made from template %s, not %s", request.Template, t.Name()))
	}
	for _, p := range overrides {
		request = request.WithParameter(p)
	}
	expanded, err := t.Expand(request.Deployment, request.Parameters)
	if err != nil {
		return files[1].withPath(err)
	}
	return printJSON(s.Out, expanded.Document(version))
}

// parameterFlag are parameters given by flags.
type parameterFlag []thconfig.Parameter

// String returns nothing: the flag has no default.
func (f *parameterFlag) String() string { return "" }

// Set takes one flag's value.
func (f *parameterFlag) Set(text string) error {
	name, value, ok := strings.Cut(text, "=")
	if !ok {
		return newUsageError("--set %q: allowed is name=value", text)
	}
	p, err := thtemplate.ParseValue(name, value)
	if err != nil {
		return err
	}
	*f = append(*f, p)
	return nil
}
