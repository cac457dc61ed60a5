package settings

import (
	_ "embed" // for schemaJSON
	"errors"
	"fmt"
	"time"

	"lichentray/config"
)

// schemaJSON is the JSON schema of the settings file.
//
//go:embed settings.schema.json
var schemaJSON []byte

// The values of Settings.Serves that the programs use. Other values are ignored.
const (
	servesControl   = "control"
	servesEdge      = "edge"
	servesDirectory = "directory"
)

// errPortRange is the error for an empty port range.
var errPortRange = errors.New("internal_port_range: first port is above the last")

// validateDocument validates a decoded TOML document against the schema.
func validateDocument(document map[string]any) error {
	schema, err := config.NewSchema(schemaJSON)
	if err != nil {
		return err
	}
	return schema.Validate(jsonValue(document))
}

// jsonValue converts a decoded TOML value to the types of decoded JSON. Dates become strings,
// because JSON has no dates.
func jsonValue(v any) any {
	switch v := v.(type) {
	case map[string]any:
		object := make(map[string]any, len(v))
		for key, value := range v {
			object[key] = jsonValue(value)
		}
		return object
	case []any:
		array := make([]any, len(v))
		for i, value := range v {
			array[i] = jsonValue(value)
		}
		return array
	case time.Time:
		return v.String()
	}
	return v
}

// validate checks what the schema cannot express.
func (s *Settings) validate() error {
	if len(s.PortRange) == 2 && s.PortRange[0] > s.PortRange[1] {
		return errPortRange
	}
	required := map[string]struct{ key, address string }{
		servesControl:   {key: "control_plane", address: s.Listen.Control},
		servesEdge:      {key: "frontend", address: s.Listen.Frontend},
		servesDirectory: {key: "directory", address: s.Listen.Directory},
	}
	for _, service := range s.Serves {
		if listen, ok := required[service]; ok && listen.address == "" {
			return fmt.Errorf("listen_addresses.%s: required because serves contains %q", listen.key, service)
		}
	}
	return nil
}
