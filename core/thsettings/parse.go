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
	r := NewLoader()
	r.flags.SetOutput(io.Discard)
	if err := ff.Parse(r.flags, args, r.Options()...); err != nil {
		return Settings{}, r.explain(err)
	}
	if rest := r.flags.Args(); len(rest) > 0 {
		return Settings{}, invalid("command line: %q is no setting; settings are given as --name value", rest[0])
	}
	return r.Settings()
}

// CheckFile checks the settings in a file alone, without the environment.
func CheckFile(path string, source io.Reader) error {
	r := NewLoader()
	r.file = path
	if err := r.parseFile(source, r.flags.Set); err != nil {
		return err
	}
	_, err := r.Settings()
	return err
}

func invalid(format string, args ...any) error {
	return therror.New(therror.SettingsInvalid, format, args...)
}

// Loader defines the settings as flags of a command. Make one with NewReader.
type Loader struct {
	settings    Settings
	definitions []setting
	flags       *flag.FlagSet
	file        string
	// problem is the refusal that ended the reading; the libraries between
	// pass on its text only.
	problem *refusal
}

// NewLoader returns a reader that has read nothing yet.
func NewLoader() *Loader {
	r := &Loader{flags: flag.NewFlagSet("tamarackhollow front", flag.ContinueOnError)}
	r.flags.StringVar(&r.file, flagFile, "", "TOML file with the settings")
	r.definitions = definitions(&r.settings)
	for _, d := range r.definitions {
		r.flags.Var(&checkedValue{value: d.value, r: r, d: d}, d.name, d.usage+": "+d.value.allowed())
	}
	return r
}

// FlagSet returns the flags, one for each setting and one for the file.
func (r *Loader) FlagSet() *flag.FlagSet { return r.flags }

// Options returns what makes package ff read the environment and the file too.
func (r *Loader) Options() []ff.Option {
	return []ff.Option{
		ff.WithEnvVarPrefix(EnvironmentPrefix),
		ff.WithConfigFileFlag(flagFile),
		ff.WithConfigFileParser(r.parseFile),
	}
}

// Settings returns what was read. It fails with SettingsInvalid if settings
// are missing or clash.
func (r *Loader) Settings() (Settings, error) {
	if err := r.checkRequired(); err != nil {
		return Settings{}, err
	}
	if err := checkDistinct(r.settings.Listen); err != nil {
		return Settings{}, invalid("%s: %v", r.place(), err)
	}
	return r.settings, nil
}

// checkedValue keeps the refusal of a value with its place.
type checkedValue struct {
	value
	r *Loader
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
		v.r.problem = &refusal{setting: v.d, given: s}
		return v.r.problem
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

func (r *Loader) place() string {
	if r.file == "" {
		return "settings"
	}
	return r.file
}

// explain turns an error of the libraries into one that names the place.
func (r *Loader) explain(err error) error {
	switch {
	case errors.Is(err, flag.ErrHelp), therror.Is(err, therror.SettingsInvalid):
		return err
	case r.problem == nil:
		return invalid("command line: %v", err)
	case strings.HasPrefix(err.Error(), "error parsing environment"):
		return invalid("environment variable %s: %v", environmentName(r.problem.setting.name), r.problem)
	}
	return invalid("command line: %v", r.problem)
}

func environmentName(name string) string {
	return EnvironmentPrefix + "_" + strings.ToUpper(strings.ReplaceAll(name, ".", "_"))
}

func (r *Loader) checkRequired() error {
	given := make(map[string]bool)
	r.flags.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for _, d := range r.definitions {
		if d.required && !given[d.name] {
			return invalid("%s: %s is missing: allowed is %s (flag --%s, variable %s)",
				r.place(), d.name, d.value.allowed(), d.name, environmentName(d.name))
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
		{"listen.readiness", l.Readiness},
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
func (r *Loader) parseFile(source io.Reader, set func(name, value string) error) error {
	var document map[string]any
	if err := toml.NewDecoder(source).Decode(&document); err != nil {
		return invalid("%s: %v", r.place(), tomlError(err))
	}
	for _, kv := range flatten("", document) {
		if kv.name == flagFile || r.flags.Lookup(kv.name) == nil {
			return invalid("%s: %s is no setting; settings are %s", r.place(), kv.name, r.names())
		}
		if err := set(kv.name, kv.value); err != nil {
			return r.explainFile(err)
		}
	}
	return nil
}

func (r *Loader) explainFile(err error) error {
	if r.problem != nil {
		err = r.problem
	}
	return invalid("%s: %v", r.place(), err)
}

func tomlError(err error) error {
	var d *toml.DecodeError
	if !errors.As(err, &d) {
		return err
	}
	row, column := d.Position()
	return errors.Newf("line %d, column %d: %v", row, column, err)
}

func (r *Loader) names() string {
	names := make([]string, 0, len(r.definitions))
	for _, d := range r.definitions {
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
