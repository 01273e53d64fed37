package thcommand

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"os"

	"tamarackhollow/core/therror"
	"tamarackhollow/core/thsettings"
	"tamarackhollow/core/thtemplate"

	"github.com/pelletier/go-toml/v2"
	"github.com/peterbourgon/ff/v3/ffcli"
)

// Check returns the command that validates settings, template and deployment
// files. It starts no VM and changes nothing.
func Check(s Streams) *ffcli.Command {
	fs := flag.NewFlagSet("tamarackhollow check", flag.ContinueOnError)
	fs.SetOutput(s.Err)
	return &ffcli.Command{
		Name:       "check",
		ShortUsage: "tamarackhollow check FILE…",
		ShortHelp:  "validate settings, template and deployment files without running anything",
		LongHelp:   "A deployment is expanded only if the file of its template is given too.",
		FlagSet:    fs,
		Exec: func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return newUsageError("usage: tamarackhollow check FILE…")
			}
			return checkFiles(s, args)
		},
	}
}

// checkFiles validates each file and prints a line about it. After an invalid file
// it continues with the next one, and returns a therror.ChangeInvalid at the end.
func checkFiles(s Streams, paths []string) error {
	files, err := readFiles(paths)
	if err != nil {
		return err
	}
	templates := map[string]thtemplate.Template{}
	for _, f := range files {
		if f.kind == fileTemplate {
			if t, err := thtemplate.Parse(string(f.data)); err == nil {
				templates[t.Name()] = t
			}
		}
	}
	var lastErr error
	for _, f := range files {
		summary, err := f.check(templates)
		if err != nil {
			_, _ = fmt.Fprintln(s.Err, "tamarackhollow:", err)
			lastErr = err
			continue
		}
		_, _ = fmt.Fprintf(s.Out, "%s: %s\n", f.path, summary)
	}
	if lastErr != nil {
		return therror.New(therror.ChangeInvalid, "at least one file is invalid; see the errors above")
	}
	return nil
}

// fileKind is what a file configures.
type fileKind int

const (
	fileSettings fileKind = iota
	fileTemplate
	fileDeployment
)

// file is a file given on the command line, with its content.
type file struct {
	path string
	kind fileKind
	data []byte
}

// readFiles reads files and detects their kinds by their content.
func readFiles(paths []string) ([]file, error) {
	files := make([]file, 0, len(paths))
	for _, p := range paths {
		data, err := os.ReadFile(p)
		if err != nil {
			return nil, newUsageError("%v", err)
		}
		files = append(files, file{path: p, kind: detectKind(data), data: data})
	}
	return files, nil
}

// detectKind returns the kind of a file by its top-level keys. A file without the
// key "deployment" or "template" holds settings.
func detectKind(data []byte) fileKind {
	var document map[string]any
	if toml.Unmarshal(data, &document) != nil {
		return guessKind(data)
	}
	if _, ok := document["deployment"]; ok {
		return fileDeployment
	}
	if _, ok := document["template"]; ok {
		return fileTemplate
	}
	return fileSettings
}

// guessKind returns the probable kind of a file that is not valid TOML, so that
// the error comes from the parser of that kind.
func guessKind(data []byte) fileKind {
	if bytes.HasPrefix(data, []byte("deployment")) || bytes.Contains(data, []byte("\ndeployment")) {
		return fileDeployment
	}
	if bytes.HasPrefix(data, []byte("template")) || bytes.Contains(data, []byte("\ntemplate")) {
		return fileTemplate
	}
	return fileSettings
}

// check validates the file and returns a short summary of it. Templates holds the
// valid templates among the files of the command line, by name.
func (f file) check(templates map[string]thtemplate.Template) (string, error) {
	switch f.kind {
	case fileTemplate:
		t, err := thtemplate.Parse(string(f.data))
		if err != nil {
			return "", f.withPath(err)
		}
		return fmt.Sprintf("template %s with %d parameters", t.Name(), len(t.Parameters())), nil
	case fileDeployment:
		return f.checkDeployment(templates)
	}
	if err := thsettings.CheckFile(f.path, bytes.NewReader(f.data)); err != nil {
		return "", err
	}
	return "settings", nil
}

// checkDeployment validates a deployment, and expands it if its template is given.
func (f file) checkDeployment(templates map[string]thtemplate.Template) (string, error) {
	spec, err := thtemplate.ParseDeploymentSpec(string(f.data))
	if err != nil {
		return "", f.withPath(err)
	}
	t, ok := templates[spec.Template]
	if !ok {
		return fmt.Sprintf("deployment %s, not expanded: give the file of template %s too", spec.Deployment, spec.Template), nil
	}
	expanded, err := t.Expand(spec.Deployment, spec.Parameters)
	if err != nil {
		return "", f.withPath(err)
	}
	d := expanded.Deployment
	return fmt.Sprintf("deployment %s with %d services, %d routes and %d customers", d.Name, len(d.Services), len(d.Routes), len(expanded.Customers)), nil
}

// withPath prefixes an error with the file's path and keeps its kind.
func (f file) withPath(err error) error {
	return therror.Wrap(therror.KindOf(err), err, "%s", f.path)
}
