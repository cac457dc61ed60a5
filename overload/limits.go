package overload

// Listener names a listening socket of a process.
type Listener string

// The listeners of the programs.
const (
	Frontend     Listener = "frontend"
	ControlPlane Listener = "control_plane"
	Directory    Listener = "directory"
	Readiness    Listener = "readiness"
	Internal     Listener = "internal"
	// Upstream stands for the connections that a process opens to forward requests.
	Upstream Listener = "upstream"
)

// isProtected reports whether the connections of a listener never give way for memory. They are those
// of the platform and of other nodes; they are few, as the listener's limit of connections bounds them.
func (l Listener) isProtected() bool { return l == Readiness || l == Internal }

const (
	// connectionsDivisor is the part of the limit of bytes that is kept for connections: requests in
	// process can reserve the rest, and then new connections are still accepted.
	connectionsDivisor = 4
	// clientMemoryDivisor is the part of a process's memory that clients may make it hold. The rest
	// is for the state of the deployment and for the garbage of the heap.
	clientMemoryDivisor = 4
	// otherFiles is the number of descriptors kept for files outside the data directory.
	otherFiles = 200
	// shareDivisor is the denominator of descriptorShares.
	shareDivisor = 16
	// minConnections is the smallest limit of a listener.
	minConnections = 8
)

// descriptorShares is the share of the remaining descriptors that each listener may use, in parts
// of shareDivisor. No program has listeners whose shares add up to shareDivisor or more: what is
// left is for connections to other nodes and for the files of the store.
var descriptorShares = map[Listener]int{
	Frontend:     7,
	ControlPlane: 7,
	Directory:    3,
	Readiness:    1,
	Internal:     3,
	Upstream:     4,
}

const (
	// liveHeapPercent is the part of the runtime's memory limit that live objects may take, in
	// percent. Above it the garbage collector would take much of the processor.
	liveHeapPercent = 60
	// minClientMemoryDivisor is the part of a process's memory that clients may use however large
	// the state of the deployment is.
	minClientMemoryDivisor = 16
)

// ClientBytes returns how many bytes clients may make a process hold that has stateBytes bytes of
// live objects besides those. most is the limit in a process without much state, and memoryLimit the
// memory limit of the runtime. All are in bytes.
func ClientBytes(most, memoryLimit, stateBytes int64) int64 {
	left := memoryLimit/100*liveHeapPercent - max(0, stateBytes)
	least := most * clientMemoryDivisor / minClientMemoryDivisor
	return min(most, max(least, left))
}

// Limits bounds what clients may make a process hold.
type Limits struct {
	// Bytes is the number of bytes that may be reserved in an Account.
	Bytes int64
	// Connections is the number of open connections by listener.
	Connections map[Listener]int
}

// Reservable returns the number of bytes up to which bytes can be reserved for a connection. The rest
// is for connections.
func (l Limits) Reservable() int64 { return l.Bytes - l.Bytes/connectionsDivisor }

// Divide returns the limits of a process that may use memoryBytes bytes of memory and openFiles
// descriptors.
func Divide(memoryBytes int64, openFiles int) Limits {
	limits := Limits{Bytes: memoryBytes / clientMemoryDivisor, Connections: map[Listener]int{}}
	sockets := max(0, openFiles-otherFiles)
	for listener, share := range descriptorShares {
		limits.Connections[listener] = max(minConnections, sockets*share/shareDivisor)
	}
	return limits
}
