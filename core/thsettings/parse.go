package thsettings

import (
	"flag"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"tamarackhollow/core/therror"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
	"github.com/peterbourgon/ff/v3"
)

const (
	// EnvironmentPrefix begins the name of each environment variable that is a setting.
	EnvironmentPrefix = "TAMARACKHOLLOW"

	flagFile = "settings"
)

// Parse reads the settings from flags, environment and the TOML file that the
// flag --settings names. It fails with SettingsInvalid, saying where the
// offending setting stands, its name, its value and what is allowed.
func Parse(args []string) (Settings, error) {
	p := newParser()
	err := ff.Parse(p.flags, args,
		ff.WithEnvVarPrefix(EnvironmentPrefix),
		ff.WithConfigFileFlag(flagFile),
		ff.WithConfigFileParser(p.parseFile))
	if err != nil {
		return Settings{}, p.explain(err)
	}
	if rest := p.flags.Args(); len(rest) > 0 {
		return Settings{}, invalid("command line: %q is no setting; settings are given as --name value", rest[0])
	}
	if err := p.checkRequired(); err != nil {
		return Settings{}, err
	}
	if err := checkDistinct(p.settings.Listen); err != nil {
		return Settings{}, invalid("%s: %v", p.place(), err)
	}
	return p.settings, nil
}

// CheckFile reads the settings from a file alone, without the environment.
func CheckFile(path string, source io.Reader) error {
	p := newParser()
	p.file = path
	err := p.parseFile(source, p.flags.Set)
	if err != nil {
		return p.explain(err)
	}
	if err := p.checkRequired(); err != nil {
		return err
	}
	if err := checkDistinct(p.settings.Listen); err != nil {
		return invalid("%s: %v", path, err)
	}
	return nil
}

// IsSettings reports whether a TOML document looks like settings of a process.
func IsSettings(document map[string]any) bool {
	_, ok := document["vm"]
	return ok
}

func invalid(format string, args ...any) error {
	return therror.New(therror.SettingsInvalid, format, args...)
}

type parser struct {
	settings    Settings
	definitions []setting
	flags       *flag.FlagSet
	file        string
	// problem is the refusal that ended the reading; the libraries between
	// pass on its text only.
	problem error
	inFile  bool
}

func newParser() *parser {
	p := &parser{flags: flag.NewFlagSet("serve", flag.ContinueOnError)}
	p.flags.SetOutput(io.Discard)
	p.flags.StringVar(&p.file, flagFile, "", "TOML file with the settings")
	p.definitions = definitions(&p.settings)
	for _, d := range p.definitions {
		p.flags.Var(&checkedValue{value: d.value, p: p, d: d}, d.name, d.usage+": "+d.value.allowed())
	}
	return p
}

// checkedValue keeps the refusal of a value with its place.
type checkedValue struct {
	value
	p *parser
	d setting
}

// String works on the zero value too, which package flag asks of it.
func (v *checkedValue) String() string {
	if v.value == nil {
		return ""
	}
	return v.value.String()
}

func (v *checkedValue) Set(s string) error {
	if err := v.value.Set(s); err != nil {
		v.p.problem = &refusal{setting: v.d, given: s}
		return err
	}
	return nil
}

type refusal struct {
	setting setting
	given   string
}

func (r *refusal) Error() string {
	return fmt.Sprintf("%s = %s: allowed is %s", r.setting.name, r.setting.shown(r.given), r.setting.value.allowed())
}

func (p *parser) place() string {
	if p.file == "" {
		return "settings"
	}
	return p.file
}

// explain turns an error of the libraries into one that names the place.
func (p *parser) explain(err error) error {
	if errors.Is(err, flag.ErrHelp) {
		return err
	}
	place := "command line"
	switch {
	case p.inFile:
		place = p.place()
	case strings.HasPrefix(err.Error(), "error parsing environment"):
		place = "environment"
	}
	var r *refusal
	if errors.As(p.problem, &r) {
		if place == "environment" {
			place = "environment variable " + environmentName(r.setting.name)
		}
		return invalid("%s: %v", place, r)
	}
	return invalid("%s: %v", place, err)
}

func environmentName(name string) string {
	return EnvironmentPrefix + "_" + strings.ToUpper(strings.ReplaceAll(name, ".", "_"))
}

func (p *parser) checkRequired() error {
	given := make(map[string]bool)
	p.flags.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for _, d := range p.definitions {
		if d.required && !given[d.name] {
			return invalid("%s: %s is missing: allowed is %s (flag --%s, variable %s)",
				p.place(), d.name, d.value.allowed(), d.name, environmentName(d.name))
		}
	}
	return nil
}

func checkDistinct(l Listen) error {
	seen := map[string]string{}
	for _, o := range []struct{ name, address string }{
		{"listen.callers", l.Callers},
		{"listen.peers", l.Peers},
		{"listen.operators", l.Operators},
		{"listen.metrics", l.Metrics},
	} {
		if o.address == "" {
			continue
		}
		if first, taken := seen[o.address]; taken {
			return errors.Newf("%s = %q: allowed is an address of its own, but %s has this one", o.name, o.address, first)
		}
		seen[o.address] = o.name
	}
	return nil
}

// parseFile gives each value of a TOML file to set.
func (p *parser) parseFile(r io.Reader, set func(name, value string) error) error {
	p.inFile = true
	var document map[string]any
	if err := toml.NewDecoder(r).Decode(&document); err != nil {
		return tomlError(err)
	}
	for _, kv := range flatten("", document) {
		if kv.name == flagFile || p.flags.Lookup(kv.name) == nil {
			return errors.Newf("%s is no setting; settings are %s", kv.name, p.names())
		}
		if err := set(kv.name, kv.value); err != nil {
			return err
		}
	}
	p.inFile = false
	return nil
}

func tomlError(err error) error {
	var d *toml.DecodeError
	if !errors.As(err, &d) {
		return err
	}
	row, column := d.Position()
	return errors.Newf("line %d, column %d: %v", row, column, err)
}

func (p *parser) names() string {
	names := make([]string, 0, len(p.definitions))
	for _, d := range p.definitions {
		names = append(names, d.name)
	}
	return strings.Join(names, ", ")
}

type pair struct{ name, value string }

// flatten lists a document's values under dotted names, in order of the names.
func flatten(prefix string, document map[string]any) []pair {
	all := make([]pair, 0, len(document))
	for _, k := range slices.Sorted(maps.Keys(document)) {
		all = append(all, flattenValue(prefix+k, document[k])...)
	}
	return all
}

func flattenValue(name string, v any) []pair {
	switch w := v.(type) {
	case map[string]any:
		return flatten(name+".", w)
	case []any:
		var all []pair
		for _, e := range w {
			all = append(all, flattenValue(name, e)...)
		}
		return all
	}
	return []pair{{name, fmt.Sprint(v)}}
}
