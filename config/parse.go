package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/santhosh-tekuri/jsonschema/v6"
)

// Parse decodes and validates a configuration. The error names the first invalid field.
// Callers return the text of the error to clients as the detail of a response.
func Parse(text []byte) (*Configuration, error) {
	schema, err := compiledSchema()
	if err != nil {
		return nil, err
	}
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		return nil, fmt.Errorf("not readable as JSON: %w", err)
	}
	if err := schema.Validate(document); err != nil {
		return nil, err
	}
	c, err := DecodeValidated(text)
	if err != nil {
		return nil, err
	}
	if err := c.validateServices(); err != nil {
		return nil, err
	}
	return c, nil
}

// DecodeValidated decodes a configuration without validating it, for configurations that were
// validated before they were stored.
func DecodeValidated(text []byte) (*Configuration, error) {
	c := new(Configuration)
	if err := json.Unmarshal(text, c); err != nil {
		return nil, fmt.Errorf("not readable: %w", err)
	}
	return c, nil
}

// validateServices checks what the schema cannot express: that every rule refers to defined
// services, and that the weights of a split do not add up to 0.
func (c *Configuration) validateServices() error {
	defined := map[string]bool{}
	for _, s := range c.Clusters {
		defined[s.Name] = true
	}
	for i, l := range c.Listeners {
		for k, r := range l.Rules {
			if err := r.Action.validateServices(defined); err != nil {
				return fmt.Errorf("listeners.%d.rules.%d.action.%w", i, k, err)
			}
		}
	}
	return nil
}

func (a *RouteAction) validateServices(defined map[string]bool) error {
	if len(a.Split) == 0 {
		if !defined[a.Service] {
			return fmt.Errorf("backend_service: service %q is not known", a.Service)
		}
		return nil
	}
	total := 0.0
	for _, s := range a.Split {
		if !defined[s.Service] {
			return fmt.Errorf("traffic_split: service %q is not known", s.Service)
		}
		total += s.Weight
	}
	if total <= 0 {
		return errors.New("traffic_split: the weights add up to 0")
	}
	return nil
}
