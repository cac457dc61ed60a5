// Package settings reads and validates the settings file of a process.
//
// The file is TOML. It is validated against the JSON schema in settings.schema.json, which is
// embedded; keys that the schema does not know are ignored, so that a newer deployment tool can
// start an older program. The names of keys and their meaning are public.
//
// Settings are values: the package keeps no state, watches no file and starts no goroutine. The
// programs read the file again when it has changed (package daemon) and decide themselves what
// takes effect without a restart. Time-outs that several packages share are derived here, see
// timeouts.go; those of one package are derived there.
package settings

import (
	"net"
	"slices"
	"strconv"
	"time"
)

// Seconds is a time in seconds, with fractions, as the settings file has it.
type Seconds float64

// Duration converts the time.
func (s Seconds) Duration() time.Duration { return time.Duration(float64(s) * float64(time.Second)) }

// Limits are what one process may use of its machine. A value of 0 is not given, but for
// MemoryMB and MaxOpenFiles, which are required.
type Limits struct {
	// CPUShare is the share of the machine's processors, as a fraction.
	CPUShare float64 `toml:"cpu_share"`
	// CPUCores is the number of processors that the process sees.
	CPUCores float64 `toml:"cpu_cores"`
	// MemoryMB bounds the resident memory, in MiB.
	MemoryMB float64 `toml:"memory_mb"`
	// MaxOpenFiles bounds the open descriptors.
	MaxOpenFiles int `toml:"max_open_files"`
	// BandwidthMbps is the bandwidth of the machine's link, in Mbit/s.
	BandwidthMbps float64 `toml:"bandwidth_mbps"`
	// DiskMB bounds what the process stores, in MiB.
	DiskMB float64 `toml:"disk_mb"`
}

// Bounds are the figures of the guarantees that a deployment must meet. Time-outs are derived from
// them. Some are not used by any program; they are read so that all settings are validated.
type Bounds struct {
	// SeedReload is how old the list of seed nodes in the file may be. The file is read again
	// at this interval.
	SeedReload Seconds `toml:"seed_lag_s"`
	// AddressReuse is how long the address of an endpoint that ended is not given to another.
	AddressReuse Seconds `toml:"address_reuse_s"`
	// ContactWindow is how long a machine must have been connected and undisturbed for the
	// bounds on times to hold for it. Most time-outs between machines are fractions of it.
	ContactWindow Seconds `toml:"contact_s"`
	// AckTimeout is how long an order may go without an acknowledgement while the control plane
	// is undisturbed.
	AckTimeout Seconds `toml:"ack_timeout_s"`
	// CatchUp is how long a machine that has returned counts as lost.
	CatchUp Seconds `toml:"catch_up_s"`
	// DrainApply is how long after the acknowledgement of a draining endpoint requests may
	// reach it.
	DrainApply Seconds `toml:"drain_s"`
	// GracePeriod is the time between SIGTERM and SIGKILL.
	GracePeriod Seconds `toml:"grace_period_s"`
	// LossSlack is the delay within which a request that was read may be cut off around planned
	// work.
	LossSlack Seconds `toml:"loss_slack_s"`
	// ConfigApply is how long after its acknowledgement requests may be handled by an older
	// configuration.
	ConfigApply Seconds `toml:"config_apply_s"`
	// RollbackSlack is how long a machine may go back to an older configuration after a newer
	// one had an effect.
	RollbackSlack Seconds `toml:"rollback_slack_s"`
	// MaxConfigStretch is by how much a disturbed control plane may lengthen ConfigApply.
	MaxConfigStretch Seconds `toml:"max_stretch_s"`
	// RetryBudgetRatio is how many retries a service may get for each request.
	RetryBudgetRatio float64 `toml:"retry_budget_ratio"`
	// RetryBudgetWindow is the window in which retries are counted.
	RetryBudgetWindow Seconds `toml:"budget_window_s"`
	// RetryBudgetSlack is how many retries a service may get in a window in addition to
	// RetryBudgetRatio.
	RetryBudgetSlack float64 `toml:"retry_budget_slack"`
	// Recovery is how long after the return of lost machines requests may stay unserved.
	Recovery Seconds `toml:"recovery_s"`
	// HistoryRetention is how long the events of a watch are kept, by default a minute.
	HistoryRetention Seconds `toml:"history_retention_s"`
	// LockRelease is how long after the end of its lease a lock may still not be granted to another.
	LockRelease Seconds `toml:"release_s"`
	// SlowStartOvershoot is how many times the rate that it can carry an endpoint in slow start
	// may get. 0 means that slow start is not coordinated between proxies.
	SlowStartOvershoot float64 `toml:"cold_overshoot"`
	// SlowStartSlack is how many requests a second such an endpoint may get in addition.
	SlowStartSlack float64 `toml:"cold_slack"`
	// ZoneEvacuation is how long the evacuation of a zone may take.
	ZoneEvacuation Seconds `toml:"evacuation_s"`
	// MaxTTL is how long clients use an answer of the directory at most, by default ContactWindow.
	MaxTTL Seconds `toml:"ttl_max_s"`
	// ExposureRatio is the share of requests that a bad target version may get until the deadline
	// of its roll-out.
	ExposureRatio float64 `toml:"exposure_ratio"`
	// ExposureSlack is how many requests such a version may get in addition.
	ExposureSlack float64 `toml:"exposure_slack"`
	// RolloutRollback is the time within which a roll-out that shows a fault has to be rolled
	// back.
	RolloutRollback Seconds `toml:"rollback_s"`
}

// Audit configures the audit log of failed requests.
type Audit struct {
	// TenantByHost names the tenant of a host.
	TenantByHost map[string]string `toml:"hosts"`
	// TenantHeader is the request header that names the tenant where TenantByHost does not.
	TenantHeader string `toml:"tenant_header"`
	// UnknownTenant is the tenant recorded for all other requests, by default DefaultUnknownTenant.
	UnknownTenant string `toml:"unknown_tenant"`
	// RequestHeader is the header by which the attempts of a client at one request are known.
	// If it is empty, each attempt is a request of its own.
	RequestHeader string `toml:"request_header"`
	// MaxPendingRecords bounds the records that a proxy holds until they are committed, by
	// default DefaultMaxPendingRecords.
	MaxPendingRecords int `toml:"most_held"`
	// MaxRecords bounds the records of the audit log, by default DefaultMaxRecords.
	MaxRecords int `toml:"most_entries"`
}

// ListenAddresses are the addresses (IP:port) that a process listens at. Those that its role does
// not serve are empty.
type ListenAddresses struct {
	// Frontend is where a proxy takes requests of clients.
	Frontend string `toml:"frontend"`
	// Readiness is where a proxy answers whether it takes requests.
	Readiness string `toml:"readiness"`
	// Control is where a control-plane node serves its HTTP API.
	Control string `toml:"control_plane"`
	// Directory is where a control-plane node answers clients which proxies to connect to.
	Directory string `toml:"directory"`
}

// FaultTolerance is how many machines, zones or regions of the control plane's core may be lost at
// once while the guarantees hold.
type FaultTolerance struct {
	Machines int `toml:"machines"`
	Zones    int `toml:"zones"`
	Regions  int `toml:"regions"`
}

// EntryTypeDirectory is the Settings.EntryType of a deployment whose clients ask a directory which
// proxy to connect to.
const EntryTypeDirectory = "directory"

// guaranteeRollout is the guarantee under which requests are routed by the version of an endpoint.
const guaranteeRollout = "rollout"

// Settings are the settings of one process.
type Settings struct {
	NodeName string `toml:"node_name"`
	// Role is the name of the process's role in the deployment. No program depends on it.
	Role string `toml:"role"`
	// Serves lists what the process's machine serves, see the constants of the same name in
	// validate.go.
	Serves []string `toml:"serves"`
	// EntryType is how clients find a proxy, see EntryTypeDirectory.
	EntryType string `toml:"entry_type"`
	IPAddress string `toml:"ip_address"`
	// BindIP is the IP address on which a control-plane node listens, where it is not the one at
	// which others reach the node: a port forwarder stands in between. It is empty otherwise.
	BindIP string `toml:"bind_ip"`
	Zone   string `toml:"zone"`
	Region string `toml:"region"`
	// PortRange holds the first and the last of the ports that are free for internal use.
	PortRange []int `toml:"internal_port_range"`
	// SeedNodes are the API addresses (IP:port) of a few control-plane nodes. They may have
	// changed since the file was written.
	SeedNodes []string `toml:"seed_nodes"`
	// Bootstrap is set at the first start of a deployment, when all disks are empty.
	Bootstrap bool `toml:"bootstrap"`
	// QuorumMember is true if the machine counts in FaultTolerance.
	QuorumMember bool `toml:"quorum_member"`
	// DataDirectory is the directory for durable state. It is empty on a machine without a
	// disk.
	DataDirectory string `toml:"data_directory"`
	// HeartbeatInterval is how often endpoints send heartbeats.
	HeartbeatInterval Seconds `toml:"heartbeat_interval_s"`
	// RegionByZone holds every zone of the deployment.
	RegionByZone   map[string]string `toml:"zones"`
	Listen         ListenAddresses   `toml:"listen_addresses"`
	Limits         Limits            `toml:"limits"`
	FaultTolerance FaultTolerance    `toml:"fault_tolerance"`
	Bounds         Bounds            `toml:"bounds"`
	// Audit is nil in a deployment that keeps no audit log.
	Audit *Audit `toml:"account"`
	// Guarantees names the guarantees that are in force.
	Guarantees []string `toml:"guarantees"`
}

// HasRollouts reports whether requests are routed by the version of an endpoint: to the base
// version, and to another one only during a roll-out to it.
func (s *Settings) HasRollouts() bool { return slices.Contains(s.Guarantees, guaranteeRollout) }

// BindAddr returns the address (IP:port) to listen on so that others reach the node at an address
// of its own.
func (s *Settings) BindAddr(address string) string {
	_, port, err := net.SplitHostPort(address)
	if err != nil || s.BindIP == "" {
		return address
	}
	return net.JoinHostPort(s.BindIP, port)
}

// InternalAddr returns the internal address (IP:port) of a control-plane node, given any address of
// its machine, with or without a port. All machines use the same internal ports.
func (s *Settings) InternalAddr(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		host = address
	}
	return net.JoinHostPort(host, strconv.Itoa(s.PortRange[0]))
}
