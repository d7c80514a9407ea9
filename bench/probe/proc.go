package probe

import (
	"os"
	"strconv"
	"strings"
	"time"

	"mulleingate.dev/base/fault"
)

// clockTick is the kernel's unit of processor time.
const clockTick = 10 * time.Millisecond

// Usage is what a process has used so far.
type Usage struct {
	At  time.Time
	CPU time.Duration
	// RSS is resident memory in bytes; Read and Written count bytes through system calls,
	// sockets included.
	RSS, Read, Written int64
}

// Read reads the usage of a process.
func Read(pid int) (Usage, error) {
	base := "/proc/" + strconv.Itoa(pid)
	use := Usage{At: time.Now()}
	stat, err := os.ReadFile(base + "/stat")
	if err != nil {
		return use, fault.Fail(fault.Internal, "process cannot be read").WithCause(err)
	}
	// The fields after the command's closing bracket start with the state, field 3.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	use.CPU = time.Duration(number(fields[11])+number(fields[12])) * clockTick
	use.RSS = number(fields[21]) * int64(os.Getpagesize())
	counts, err := os.ReadFile(base + "/io")
	if err != nil {
		return use, fault.Fail(fault.Internal, "process cannot be read").WithCause(err)
	}
	for line := range strings.Lines(string(counts)) {
		name, val, _ := strings.Cut(strings.TrimSpace(line), ": ")
		switch name {
		case "rchar":
			use.Read = number(val)
		case "wchar":
			use.Written = number(val)
		}
	}
	return use, nil
}

func number(text string) int64 {
	n, _ := strconv.ParseInt(text, 10, 64)
	return n
}

// Rate is usage a second between two readings.
type Rate struct {
	// Core is the share of one core; Bytes are in both directions.
	Core  float64
	Bytes float64
}

// Between is the rate from a to b.
func Between(a, b Usage) Rate {
	secs := b.At.Sub(a.At).Seconds()
	return Rate{
		Core:  (b.CPU - a.CPU).Seconds() / secs,
		Bytes: float64(b.Read-a.Read+b.Written-a.Written) / secs,
	}
}

// Line is y = Base + Slope*x with the share of variance that it explains.
type Line struct {
	Base, Slope, R2 float64
}

// Fit is the least-squares line through the points.
func Fit(x, y []float64) Line {
	n := float64(len(x))
	var sx, sy, sxx, sxy, syy float64
	for i := range x {
		sx += x[i]
		sy += y[i]
		sxx += x[i] * x[i]
		sxy += x[i] * y[i]
		syy += y[i] * y[i]
	}
	den := n*sxx - sx*sx
	if den == 0 {
		return Line{Base: sy / n}
	}
	slope := (n*sxy - sx*sy) / den
	line := Line{Slope: slope, Base: (sy - slope*sx) / n}
	if spread := n*syy - sy*sy; spread > 0 {
		line.R2 = (n*sxy - sx*sy) * (n*sxy - sx*sy) / (den * spread)
	}
	return line
}
