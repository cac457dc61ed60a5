package settings

import (
	"bytes"
	"fmt"
	"os"

	"github.com/BurntSushi/toml"
)

// EnvPath is the name of the environment variable that holds the path of the settings file.
const EnvPath = "LICHENTRAY_CONFIG"

// DefaultPath is the path of the settings file if the environment variable is not set.
const DefaultPath = "/etc/lichentray/node.toml"

// The default values of the fields of Audit.
const (
	DefaultUnknownTenant     = "unknown"
	DefaultMaxPendingRecords = 5000
	DefaultMaxRecords        = 50000
)

// defaultHistoryRetention is the default of Bounds.HistoryRetention. It is longer than a caller
// waits for an event in one call.
const defaultHistoryRetention Seconds = 60

// ResolvePath returns the path of the settings file: the value of the command-line flag if it is
// not empty, otherwise that of the environment variable EnvPath, otherwise DefaultPath.
func ResolvePath(flag string) string {
	if flag != "" {
		return flag
	}
	if path := os.Getenv(EnvPath); path != "" {
		return path
	}
	return DefaultPath
}

// Load reads and validates the settings file at path.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	s, err := Parse(text)
	if err != nil {
		return nil, fmt.Errorf("settings %s: %w", path, err)
	}
	return s, nil
}

// Parse decodes and validates the text of a settings file. Errors name the invalid key.
func Parse(text []byte) (*Settings, error) {
	var document map[string]any
	if err := decodeTOML(text, &document); err != nil {
		return nil, err
	}
	if err := validateDocument(document); err != nil {
		return nil, err
	}
	s := new(Settings)
	if err := decodeTOML(text, s); err != nil {
		return nil, err
	}
	s.Bounds.setDefaults()
	if s.Audit != nil {
		s.Audit.setDefaults()
	}
	if err := s.validate(); err != nil {
		return nil, err
	}
	return s, nil
}

func decodeTOML(text []byte, dst any) error {
	if _, err := toml.NewDecoder(bytes.NewReader(text)).Decode(dst); err != nil {
		return fmt.Errorf("invalid TOML: %w", err)
	}
	return nil
}

// setDefaults sets the defaults of fields that the file omits and that must not be 0.
func (b *Bounds) setDefaults() {
	if b.HistoryRetention == 0 {
		b.HistoryRetention = defaultHistoryRetention
	}
	if b.MaxTTL == 0 {
		b.MaxTTL = b.ContactWindow
	}
}

// setDefaults sets the defaults of fields that the file omits.
func (a *Audit) setDefaults() {
	if a.UnknownTenant == "" {
		a.UnknownTenant = DefaultUnknownTenant
	}
	if a.MaxPendingRecords == 0 {
		a.MaxPendingRecords = DefaultMaxPendingRecords
	}
	if a.MaxRecords == 0 {
		a.MaxRecords = DefaultMaxRecords
	}
}
