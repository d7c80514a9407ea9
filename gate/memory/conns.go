package memory

import "syscall"

const (
	// reservedDescriptors is the number of descriptors that the platform reserves for files.
	reservedDescriptors = 200
	// callersDivisor sets the callers' part of the other descriptors. The rest is for replicas, other boxes, the store,
	// probes and metrics.
	callersDivisor = 2
	// connBytes is the memory that a connection takes with a call in progress: the buffers and stacks of its server, and
	// the piece of a body that is not reserved.
	connBytes = 32 << 10
	// connsDivisor sets the memory that connections may take as a part of the box's memory. It is above what the box
	// can spare if all have a call in progress; other limits refuse calls before that.
	connsDivisor = 2
	// minConns is the least number of connections, for boxes with very few descriptors.
	minConns = 16
)

// CallerConns returns how many connections with callers a box may have open. memory is the memory of the box in bytes
// and descriptors the number that its process may have open; each is zero if it is not known.
func CallerConns(memory int64, descriptors int) int {
	if memory <= 0 {
		memory = defaultMemory
	}
	conns := int(memory / connsDivisor / connBytes)
	if descriptors > 0 {
		conns = min(conns, (descriptors-reservedDescriptors)/callersDivisor)
	}
	return max(conns, minConns)
}

// Descriptors returns the number of descriptors that the process may have open: configured, or the limit of the system
// if that is lower or configured is zero.
func Descriptors(configured int) int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > 1<<30 {
		return configured
	}
	if configured <= 0 {
		return int(limit.Cur)
	}
	return min(configured, int(limit.Cur))
}
