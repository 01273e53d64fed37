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
	// EnvironmentPrefix is the prefix of every environment variable that gives a
	// setting, without the underscore that follows it.
	EnvironmentPrefix = "TAMARACKHOLLOW"

	settingsFileFlag = "settings"
)

// Parse reads the settings from the command-line arguments, the environment and
// the TOML file that --settings names. It returns flag.ErrHelp if the arguments
// ask for help; every other error is a therror.SettingsInvalid. For an invalid
// value, the error names the source (file, variable or command line), the setting,
// the value and the allowed values.
func Parse(args []string) (Settings, error) {
	l := NewLoader()
	l.flags.SetOutput(io.Discard)
	if err := ff.Parse(l.flags, args, l.Options()...); err != nil {
		return Settings{}, l.describeError(err)
	}
	if rest := l.flags.Args(); len(rest) > 0 {
		return Settings{}, invalid("command line: unexpected argument %q; settings are given as --name value", rest[0])
	}
	return l.Settings()
}

// CheckFile validates the settings that source holds, ignoring flags and the
// environment. Errors give path as the file's name.
func CheckFile(path string, source io.Reader) error {
	l := NewLoader()
	l.file = path
	if err := l.parseFile(source, l.flags.Set); err != nil {
		return err
	}
	_, err := l.Settings()
	return err
}

func invalid(format string, args ...any) error {
	return therror.New(therror.SettingsInvalid, format, args...)
}

// Loader defines the settings as flags of a command and collects their values.
// Make one with NewLoader.
type Loader struct {
	settings    Settings
	definitions []setting
	flags       *flag.FlagSet
	// file is the path of the settings file, or empty if there is none.
	file string
	// invalidValue is the error for the first invalid value, which ends parsing.
	// It is kept here because packages flag and ff pass on only its text.
	invalidValue *invalidValueError
}

// NewLoader returns a Loader with no values set.
func NewLoader() *Loader {
	l := &Loader{flags: flag.NewFlagSet("tamarackhollow front", flag.ContinueOnError)}
	l.flags.StringVar(&l.file, settingsFileFlag, "", "TOML file that settings are read from")
	l.definitions = definitions(&l.settings)
	for _, d := range l.definitions {
		l.flags.Var(&recordingValue{value: d.value, loader: l, definition: d}, d.name, d.usage+": "+d.value.allowedValues())
	}
	return l
}

// FlagSet returns the flags: one for each setting and --settings.
func (l *Loader) FlagSet() *flag.FlagSet { return l.flags }

// Options returns the options with which ff.Parse also reads the environment
// variables and the TOML file.
func (l *Loader) Options() []ff.Option {
	return []ff.Option{
		ff.WithEnvVarPrefix(EnvironmentPrefix),
		ff.WithConfigFileFlag(settingsFileFlag),
		ff.WithConfigFileParser(l.parseFile),
	}
}

// Settings returns the settings that were parsed. It fails with
// therror.SettingsInvalid if a required setting is missing or two listeners have
// the same address.
func (l *Loader) Settings() (Settings, error) {
	if err := l.checkRequired(); err != nil {
		return Settings{}, err
	}
	if err := checkDistinctAddresses(l.settings.Listen); err != nil {
		return Settings{}, invalid("%s: %v", l.sourceName(), err)
	}
	return l.settings, nil
}

// recordingValue is a value that stores the error of a failed Set in the loader,
// with the setting's definition.
type recordingValue struct {
	value
	loader     *Loader
	definition setting
}

// String must work on a zero recordingValue: package flag calls it on one to find
// out whether a default is the zero value.
func (v *recordingValue) String() string {
	if v.value == nil {
		return ""
	}
	return v.value.String()
}

func (v *recordingValue) Set(s string) error {
	if err := v.value.Set(s); err != nil {
		v.loader.invalidValue = &invalidValueError{setting: v.definition, given: s}
		return v.loader.invalidValue
	}
	return nil
}

// invalidValueError is the error for a value that a setting does not allow.
type invalidValueError struct {
	setting setting
	given   string
}

func (e *invalidValueError) Error() string {
	return fmt.Sprintf("%s = %s is invalid: it must be %s", e.setting.name, e.setting.quoteUnlessSecret(e.given), e.setting.value.allowedValues())
}

// sourceName returns the name of the settings file for error messages, or
// "settings" if there is none.
func (l *Loader) sourceName() string {
	if l.file == "" {
		return "settings"
	}
	return l.file
}

// describeError turns an error of packages flag or ff into one that names the
// source of the value. An error that already does, and flag.ErrHelp, stay as they
// are.
func (l *Loader) describeError(err error) error {
	switch {
	case errors.Is(err, flag.ErrHelp), therror.Is(err, therror.SettingsInvalid):
		return err
	case l.invalidValue == nil:
		return invalid("command line: %v", err)
	case strings.HasPrefix(err.Error(), "error parsing environment"):
		return invalid("environment variable %s: %v", environmentVariable(l.invalidValue.setting.name), l.invalidValue)
	}
	return invalid("command line: %v", l.invalidValue)
}

func environmentVariable(name string) string {
	return EnvironmentPrefix + "_" + strings.ToUpper(strings.ReplaceAll(name, ".", "_"))
}

func (l *Loader) checkRequired() error {
	given := make(map[string]bool)
	l.flags.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for _, d := range l.definitions {
		if d.required && !given[d.name] {
			return invalid("%s: %s is missing: it must be %s (give it in the settings file, as flag --%s or as environment variable %s)",
				l.sourceName(), d.name, d.value.allowedValues(), d.name, environmentVariable(d.name))
		}
	}
	return nil
}

func checkDistinctAddresses(l Listen) error {
	seen := map[string]string{}
	for _, listener := range []struct{ name, address string }{
		{"listen.callers", l.Callers},
		{"listen.peers", l.Peers},
		{"listen.operators", l.Operators},
		{"listen.readiness", l.Readiness},
		{"listen.metrics", l.Metrics},
	} {
		if listener.address == "" {
			continue
		}
		if first, taken := seen[listener.address]; taken {
			return errors.Newf("%s = %q: this address is already used by %s; each listener needs its own", listener.name, listener.address, first)
		}
		seen[listener.address] = listener.name
	}
	return nil
}

// parseFile calls set for each value of a TOML file.
func (l *Loader) parseFile(source io.Reader, set func(name, value string) error) error {
	var document map[string]any
	if err := toml.NewDecoder(source).Decode(&document); err != nil {
		return invalid("%s: %v", l.sourceName(), describeTOMLError(err))
	}
	for _, kv := range flatten("", document) {
		if kv.name == settingsFileFlag || l.flags.Lookup(kv.name) == nil {
			return invalid("%s: unknown setting %s; known settings are %s", l.sourceName(), kv.name, l.settingNames())
		}
		if err := set(kv.name, kv.value); err != nil {
			return l.describeFileError(err)
		}
	}
	return nil
}

func (l *Loader) describeFileError(err error) error {
	if l.invalidValue != nil {
		err = l.invalidValue
	}
	return invalid("%s: %v", l.sourceName(), err)
}

func describeTOMLError(err error) error {
	var d *toml.DecodeError
	if !errors.As(err, &d) {
		return err
	}
	row, column := d.Position()
	return errors.Newf("line %d, column %d: %v", row, column, err)
}

func (l *Loader) settingNames() string {
	names := make([]string, 0, len(l.definitions))
	for _, d := range l.definitions {
		names = append(names, d.name)
	}
	return strings.Join(names, ", ")
}

type namedValue struct{ name, value string }

// flatten lists the values of a document in the order of their names. Names of
// nested keys are joined with dots.
func flatten(prefix string, document map[string]any) []namedValue {
	all := make([]namedValue, 0, len(document))
	for _, k := range slices.Sorted(maps.Keys(document)) {
		all = append(all, flattenValue(prefix+k, document[k])...)
	}
	return all
}

// flattenValue lists each element of an array under the array's name.
func flattenValue(name string, v any) []namedValue {
	switch w := v.(type) {
	case map[string]any:
		return flatten(name+".", w)
	case []any:
		var all []namedValue
		for _, e := range w {
			all = append(all, flattenValue(name, e)...)
		}
		return all
	}
	return []namedValue{{name, fmt.Sprint(v)}}
}
