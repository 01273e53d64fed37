package thtemplate

import (
	"maps"
	"slices"

	"tamarackhollow/core/thconfig"

	"github.com/pelletier/go-toml/v2"
)

// DeploymentSpec is a deployment as an operator writes it: a template's name and
// values for its parameters.
type DeploymentSpec struct {
	Deployment string                    `json:"deployment"`
	Template   string                    `json:"template"`
	Parameters []thconfig.ParameterValue `json:"parameters,omitempty"`
}

// ParseDeploymentSpec reads a deployment file. It fails with ChangeInvalid, naming
// the place and the reason.
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
			return DeploymentSpec{}, invalid("deployment: unknown key %s; known are deployment, template and parameters", k)
		}
	}
	if err := toml.Unmarshal([]byte(source), &document); err != nil {
		return DeploymentSpec{}, syntaxError("deployment", err)
	}
	if document.Deployment == "" || document.Template == "" {
		return DeploymentSpec{}, invalid("deployment: the keys deployment and template must give names")
	}
	q := DeploymentSpec{Deployment: document.Deployment, Template: document.Template}
	for _, name := range slices.Sorted(maps.Keys(document.Parameters)) {
		p, err := NewParameterValue(name, document.Parameters[name])
		if err != nil {
			return DeploymentSpec{}, err
		}
		q.Parameters = append(q.Parameters, p)
	}
	return q, nil
}

// WithParameter returns the request with one parameter set.
func (q DeploymentSpec) WithParameter(p thconfig.ParameterValue) DeploymentSpec {
	n := slices.DeleteFunc(slices.Clone(q.Parameters), func(o thconfig.ParameterValue) bool { return o.Name == p.Name })
	q.Parameters = append(n, p)
	return q
}
