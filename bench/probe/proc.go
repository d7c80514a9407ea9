package probe

import (
	"os"
	"strconv"
	"strings"
	"time"

	"mulleingate.dev/base/fault"
)

// clockTick is the unit of CPU time in /proc/PID/stat, for a kernel with 100 ticks per second.
const clockTick = 10 * time.Millisecond

// Usage is what a process has used from its start until the time At.
type Usage struct {
	At  time.Time
	CPU time.Duration
	// RSS is the resident memory at that time, in bytes. Read and Written count the bytes of read
	// and write system calls, sockets included.
	RSS, Read, Written int64
}

// Read returns the usage of the process with the given ID.
func Read(pid int) (Usage, error) {
	base := "/proc/" + strconv.Itoa(pid)
	usage := Usage{At: time.Now()}
	stat, err := os.ReadFile(base + "/stat")
	if err != nil {
		return usage, fault.Fail(fault.Internal, "cannot read the stat file of the process").WithCause(err)
	}
	// The command name, field 2, may contain spaces. The fields after its closing parenthesis
	// start with field 3, the state.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	usage.CPU = time.Duration(parseCount(fields[11])+parseCount(fields[12])) * clockTick
	usage.RSS = parseCount(fields[21]) * int64(os.Getpagesize())
	ioCounts, err := os.ReadFile(base + "/io")
	if err != nil {
		return usage, fault.Fail(fault.Internal, "cannot read the io file of the process").WithCause(err)
	}
	for line := range strings.Lines(string(ioCounts)) {
		name, val, _ := strings.Cut(strings.TrimSpace(line), ": ")
		switch name {
		case "rchar":
			usage.Read = parseCount(val)
		case "wchar":
			usage.Written = parseCount(val)
		}
	}
	return usage, nil
}

func parseCount(text string) int64 {
	n, _ := strconv.ParseInt(text, 10, 64)
	return n
}

// Rate is the mean usage per second between two readings.
type Rate struct {
	// Core is CPU time as a share of one core. Bytes counts bytes read and written.
	Core  float64
	Bytes float64
}

// RateBetween returns the rate from reading a to the later reading b.
func RateBetween(a, b Usage) Rate {
	secs := b.At.Sub(a.At).Seconds()
	return Rate{
		Core:  (b.CPU - a.CPU).Seconds() / secs,
		Bytes: float64(b.Read-a.Read+b.Written-a.Written) / secs,
	}
}

// Line is y = Intercept + Slope*x. R2 is the share of the variance of y that it explains.
type Line struct {
	Intercept, Slope, R2 float64
}

// Fit returns the least-squares line through the points. If all x are equal, it is the mean of y
// with slope zero.
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
	denominator := n*sxx - sx*sx
	if denominator == 0 {
		return Line{Intercept: sy / n}
	}
	slope := (n*sxy - sx*sy) / denominator
	line := Line{Slope: slope, Intercept: (sy - slope*sx) / n}
	if variance := n*syy - sy*sy; variance > 0 {
		line.R2 = (n*sxy - sx*sy) * (n*sxy - sx*sy) / (denominator * variance)
	}
	return line
}
