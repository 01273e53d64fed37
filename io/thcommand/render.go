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

// Render returns the command that prints the routing table of a deployment.
func Render(s Streams) *ffcli.Command {
	fs := flag.NewFlagSet("tamarackhollow render", flag.ContinueOnError)
	fs.SetOutput(s.Err)
	version := fs.Uint64("version", 1, "version number of the printed routing table")
	var overrides parameterFlag
	fs.Var(&overrides, "set", "set a parameter of the deployment, as name=value; can be given several times")
	return &ffcli.Command{
		Name:       "render",
		ShortUsage: "tamarackhollow render [--version N] [--set name=value]… TEMPLATE DEPLOYMENT",
		ShortHelp:  "expand a deployment with its template and print the routing table as JSON",
		FlagSet:    fs,
		Exec: func(_ context.Context, args []string) error {
			if len(args) != 2 {
				return newUsageError("usage: tamarackhollow render [--version N] [--set name=value]… TEMPLATE DEPLOYMENT")
			}
			return render(s, args, *version, overrides)
		},
	}
}

// render expands the deployment in the second file with the template in the first
// one, and prints the routing table as JSON.
func render(s Streams, paths []string, version uint64, overrides parameterFlag) error {
	files, err := readFiles(paths)
	if err != nil {
		return err
	}
	t, err := thtemplate.Parse(string(files[0].data))
	if err != nil {
		return files[0].withPath(err)
	}
	spec, err := thtemplate.ParseDeploymentSpec(string(files[1].data))
	if err != nil {
		return files[1].withPath(err)
	}
	if spec.Template != t.Name() {
		return files[1].withPath(therror.New(therror.ChangeInvalid, "the deployment uses template %s, but the given template file defines %s", spec.Template, t.Name()))
	}
	for _, p := range overrides {
		spec = spec.WithParameter(p)
	}
	expanded, err := t.Expand(spec.Deployment, spec.Parameters)
	if err != nil {
		return files[1].withPath(err)
	}
	return printJSON(s.Out, expanded.Document(version))
}

// parameterFlag is the value of a repeatable flag: the parameters given so far.
type parameterFlag []thconfig.ParameterValue

// String returns an empty string, since the flag has no default value.
func (f *parameterFlag) String() string { return "" }

// Set parses one name=value and appends it.
func (f *parameterFlag) Set(text string) error {
	name, value, ok := strings.Cut(text, "=")
	if !ok {
		return newUsageError("--set %q: the form must be name=value", text)
	}
	p, err := thtemplate.ParseParameterValue(name, value)
	if err != nil {
		return err
	}
	*f = append(*f, p)
	return nil
}
