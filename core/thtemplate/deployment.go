package thtemplate

import (
	"maps"
	"slices"

	"tamarackhollow/core/thconfig"

	"github.com/pelletier/go-toml/v2"
)

// DeploymentSpec is the content of a deployment file: the names of the deployment
// and its template, and the values of the template's parameters.
type DeploymentSpec struct {
	Deployment string                    `json:"deployment"`
	Template   string                    `json:"template"`
	Parameters []thconfig.ParameterValue `json:"parameters,omitempty"`
}

// ParseDeploymentSpec parses a deployment file in TOML. It fails with
// therror.ChangeInvalid; the error names the key or line and the reason.
func ParseDeploymentSpec(source string) (DeploymentSpec, error) {
	var document struct {
		Deployment string         `toml:"deployment"`
		Template   string         `toml:"template"`
		Parameters map[string]any `toml:"parameters"`
	}
	var all map[string]any
	if err := toml.Unmarshal([]byte(source), &all); err != nil {
		return DeploymentSpec{}, syntaxError("deployment", err)
	}
	for _, k := range slices.Sorted(maps.Keys(all)) {
		if k != "deployment" && k != "template" && k != "parameters" {
			return DeploymentSpec{}, invalid("deployment: unknown key %s; known keys are deployment, template and parameters", k)
		}
	}
	if err := toml.Unmarshal([]byte(source), &document); err != nil {
		return DeploymentSpec{}, syntaxError("deployment", err)
	}
	if document.Deployment == "" || document.Template == "" {
		return DeploymentSpec{}, invalid("deployment: the keys deployment and template are required")
	}
	s := DeploymentSpec{Deployment: document.Deployment, Template: document.Template}
	for _, name := range slices.Sorted(maps.Keys(document.Parameters)) {
		p, err := NewParameterValue(name, document.Parameters[name])
		if err != nil {
			return DeploymentSpec{}, err
		}
		s.Parameters = append(s.Parameters, p)
	}
	return s, nil
}

// WithParameter returns a copy of s with p added. It replaces an earlier value of
// the same parameter.
func (s DeploymentSpec) WithParameter(p thconfig.ParameterValue) DeploymentSpec {
	others := slices.DeleteFunc(slices.Clone(s.Parameters), func(o thconfig.ParameterValue) bool { return o.Name == p.Name })
	s.Parameters = append(others, p)
	return s
}
