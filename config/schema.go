package config

import (
	"bytes"
	_ "embed"
	"errors"
	"fmt"
	"strings"
	"sync"

	"github.com/santhosh-tekuri/jsonschema/v6"
)

//go:embed configuration.schema.json
var schemaJSON []byte

// compiledSchema compiles the configuration schema on the first call.
var compiledSchema = sync.OnceValues(func() (*Schema, error) { return NewSchema(schemaJSON) })

// CompileSchema compiles the configuration schema in advance. Otherwise the first call of
// Parse compiles it.
func CompileSchema() error {
	_, err := compiledSchema()
	return err
}

// Schema is a compiled JSON schema. Its validation errors name the invalid field. It is safe
// for concurrent use.
type Schema struct{ compiled *jsonschema.Schema }

// NewSchema compiles a JSON schema.
func NewSchema(text []byte) (*Schema, error) {
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		return nil, fmt.Errorf("schema: %w", err)
	}
	const name = "schema.json"
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource(name, document); err != nil {
		return nil, fmt.Errorf("schema: %w", err)
	}
	compiled, err := compiler.Compile(name)
	if err != nil {
		return nil, fmt.Errorf("schema: %w", err)
	}
	return &Schema{compiled}, nil
}

// Validate checks a value of the types that encoding/json decodes into an any. The error is
// one line that begins with the path of the first invalid field.
func (s *Schema) Validate(v any) error {
	err := s.compiled.Validate(v)
	var invalid *jsonschema.ValidationError
	if !errors.As(err, &invalid) {
		return err
	}
	for len(invalid.Causes) > 0 {
		invalid = invalid.Causes[0]
	}
	field := strings.Join(invalid.InstanceLocation, ".")
	if field == "" {
		field = "(top)"
	}
	message := invalid.Error()
	if i := strings.LastIndex(message, ": "); i >= 0 {
		message = message[i+2:]
	}
	return fmt.Errorf("%s: %s", field, strings.TrimSpace(message))
}
