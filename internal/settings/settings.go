// Package settings reads and checks a process's settings (configuration
// loading and validation).
package settings

import (
	"bytes"
	_ "embed"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/BurntSushi/toml"

	"lichentray/config"
)

// EnvPath names the variable that holds the path of the settings file.
const EnvPath = "LICHENTRAY_CONFIG"

// DefaultPath is where the settings file stands when the variable is unset.
const DefaultPath = "/etc/lichentray/node.toml"

//go:embed settings.schema.json
var schemaText []byte

// Seconds is a time in seconds, with fractions.
type Seconds float64

// Duration is the time as a duration.
func (s Seconds) Duration() time.Duration { return time.Duration(float64(s) * float64(time.Second)) }

// Limits are what one process may use.
type Limits struct {
	CPUShare      float64 `toml:"cpu_share"`
	CPUCores      float64 `toml:"cpu_cores"`
	MemoryMB      float64 `toml:"memory_mb"`
	MaxOpenFiles  int     `toml:"max_open_files"`
	BandwidthMbps float64 `toml:"bandwidth_mbps"`
	DiskMB        float64 `toml:"disk_mb"`
}

// Bounds are the figures of the rules.
type Bounds struct {
	SeedReload         Seconds `toml:"seed_lag_s"`
	AddressReuse       Seconds `toml:"address_reuse_s"`
	ContactWindow      Seconds `toml:"contact_s"`
	AckTimeout         Seconds `toml:"ack_timeout_s"`
	CatchUp            Seconds `toml:"catch_up_s"`
	DrainApply         Seconds `toml:"drain_s"`
	GracePeriod        Seconds `toml:"grace_period_s"`
	LossSlack          Seconds `toml:"loss_slack_s"`
	ConfigApply        Seconds `toml:"config_apply_s"`
	RollbackSlack      Seconds `toml:"rollback_slack_s"`
	MaxConfigStretch   Seconds `toml:"max_stretch_s"`
	RetryBudgetRatio   float64 `toml:"retry_budget_ratio"`
	RetryBudgetWindow  Seconds `toml:"budget_window_s"`
	RetryBudgetSlack   float64 `toml:"retry_budget_slack"`
	Recovery           Seconds `toml:"recovery_s"`
	HistoryRetention   Seconds `toml:"history_retention_s"`
	LockRelease        Seconds `toml:"release_s"`
	SlowStartOvershoot float64 `toml:"cold_overshoot"`
	SlowStartSlack     float64 `toml:"cold_slack"`
	ZoneEvacuation     Seconds `toml:"evacuation_s"`
	MaxTTL             Seconds `toml:"ttl_max_s"`
	ExposureRatio      float64 `toml:"exposure_ratio"`
	ExposureSlack      float64 `toml:"exposure_slack"`
	RolloutRollback    Seconds `toml:"rollback_s"`
}

// Audit tells how failures are accounted for.
type Audit struct {
	// TenantByHost names the tenant of a host; TenantHeader the header that names it where
	// no host does; Unknown stands for all other requests.
	TenantByHost  map[string]string `toml:"hosts"`
	TenantHeader  string            `toml:"tenant_header"`
	UnknownTenant string            `toml:"unknown_tenant"`
	// RequestHeader names the header by which the tries of one request are known as
	// such; without one each try stands for itself.
	RequestHeader string `toml:"request_header"`
	// MaxPendingRecords bounds the records that a proxy holds, MostEntries those of the account.
	MaxPendingRecords int `toml:"most_held"`
	MaxRecords        int `toml:"most_entries"`
}

// Settings is what a process is told at its start.
type Settings struct {
	NodeName          string            `toml:"node_name"`
	Role              string            `toml:"role"`
	Serves            []string          `toml:"serves"`
	EntryType         string            `toml:"entry_type"`
	IPAddress         string            `toml:"ip_address"`
	Zone              string            `toml:"zone"`
	Region            string            `toml:"region"`
	PortRange         []int             `toml:"internal_port_range"`
	SeedNodes         []string          `toml:"seed_nodes"`
	Bootstrap         bool              `toml:"bootstrap"`
	QuorumMember      bool              `toml:"quorum_member"`
	DataDirectory     string            `toml:"data_directory"`
	HeartbeatInterval Seconds           `toml:"heartbeat_interval_s"`
	RegionByZone      map[string]string `toml:"zones"`
	Listen            struct {
		Frontend  string `toml:"frontend"`
		Readiness string `toml:"readiness"`
		Control   string `toml:"control_plane"`
		Directory string `toml:"directory"`
	} `toml:"listen_addresses"`
	Limits         Limits `toml:"limits"`
	FaultTolerance struct {
		Machines int `toml:"machines"`
		Zones    int `toml:"zones"`
		Regions  int `toml:"regions"`
	} `toml:"fault_tolerance"`
	Bounds Bounds `toml:"bounds"`
	// Account, where it stands, has failures accounted for by tenant.
	Audit *Audit `toml:"account"`
	// Guarantees names the parts of the rules that are in force.
	Guarantees []string `toml:"guarantees"`
}

// ResolvePath gives the settings file's path: the flag's if set, else the
// variable's, else the default.
func ResolvePath(flag string) string {
	if flag != "" {
		return flag
	}
	if p := os.Getenv(EnvPath); p != "" {
		return p
	}
	return DefaultPath
}

// Load reads and checks the settings at path.
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

// Parse reads and checks settings held in memory. Unknown fields are ignored.
func Parse(text []byte) (*Settings, error) {
	var raw map[string]any
	if _, err := toml.NewDecoder(bytes.NewReader(text)).Decode(&raw); err != nil {
		return nil, fmt.Errorf("not readable as TOML: %w", err)
	}
	if err := validate(raw); err != nil {
		return nil, err
	}
	s := new(Settings)
	if _, err := toml.NewDecoder(bytes.NewReader(text)).Decode(s); err != nil {
		return nil, fmt.Errorf("not readable as TOML: %w", err)
	}
	if a := s.Audit; a != nil {
		if a.UnknownTenant == "" {
			a.UnknownTenant = "unknown"
		}
		if a.MaxPendingRecords == 0 {
			a.MaxPendingRecords = 5000
		}
		if a.MaxRecords == 0 {
			a.MaxRecords = 50000
		}
	}
	if len(s.PortRange) == 2 && s.PortRange[0] > s.PortRange[1] {
		return nil, errors.New("internal_port_range: first port is above the last")
	}
	need := map[string]string{"control": s.Listen.Control, "edge": s.Listen.Frontend, "directory": s.Listen.Directory}
	name := map[string]string{"control": "control_plane", "edge": "frontend", "directory": "directory"}
	for _, what := range s.Serves {
		if addr, known := need[what]; known && addr == "" {
			return nil, fmt.Errorf("listen_addresses.%s: missing, but serves names %q", name[what], what)
		}
	}
	return s, nil
}

func validate(raw map[string]any) error {
	sch, err := config.NewSchema(schemaText)
	if err != nil {
		return err
	}
	return sch.Validate(jsonValue(raw))
}

// jsonValue turns what TOML yields into what a JSON schema knows.
func jsonValue(v any) any {
	switch v := v.(type) {
	case map[string]any:
		out := make(map[string]any, len(v))
		for k, x := range v {
			out[k] = jsonValue(x)
		}
		return out
	case []any:
		out := make([]any, len(v))
		for i, x := range v {
			out[i] = jsonValue(x)
		}
		return out
	case time.Time:
		return v.String()
	}
	return v
}

// EntryTypeDirectory is the entry type under which clients ask a directory where to
// go.
const EntryTypeDirectory = "directory"

// guaranteeRollout is the part of the rules under which versions of a service are
// told apart.
const guaranteeRollout = "rollout"

// HasRollouts tells whether versions of a service are told apart here: requests go to
// the one in use, and to another only by an order.
func (s *Settings) HasRollouts() bool { return slices.Contains(s.Guarantees, guaranteeRollout) }

// RolloutLease is for how long a proxy sends to a version under trial without
// hearing from a control-plane node that is in touch.
func (s *Settings) RolloutLease() time.Duration {
	return max(s.PropagationBound()/2, s.Bounds.RolloutRollback.Duration()/5)
}

// QuotaGrantLifetime is how long a share of a cold endpoint holds, at its holder from
// the report that it answers, at the granter from when it was given.
func (s *Settings) QuotaGrantLifetime() time.Duration {
	return s.Bounds.ContactWindow.Duration() * 2 / 3
}

// PropagationBound is the shorter of the bounds within which a change must have reached
// every node; what tells that a stream is alive is a part of it.
func (s *Settings) PropagationBound() time.Duration {
	return min(s.Bounds.DrainApply.Duration(), s.Bounds.ConfigApply.Duration())
}

// InternalAddr is the address of the control-plane node's internal port, given
// any address of that machine.
func (s *Settings) InternalAddr(control string) string {
	host, _, err := net.SplitHostPort(control)
	if err != nil {
		host = control
	}
	return net.JoinHostPort(host, strconv.Itoa(s.PortRange[0]))
}
