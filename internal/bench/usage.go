package bench

import (
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// usage holds the resource usage of a daemon process since its start.
type usage struct {
	cpuSeconds   float64
	resident     float64 // bytes
	peakResident float64 // bytes, maximum of the resident memory so far
	received     float64 // bytes
	sent         float64 // bytes
}

// ticksPerSecond is the number of clock ticks per second in /proc (USER_HZ), which is fixed by the kernel's user-space
// interface.
const ticksPerSecond = 100

// usage reads the usage of the daemon from /proc. The sent and received bytes are those of the process's read and write
// calls without its log, which is the traffic above TCP. Each wake-up of the Go runtime adds 8 bytes.
func (dn *daemon) usage() (usage, error) {
	var us usage
	pid := dn.cmd.Process.Pid
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return us, errors.Wrap(err, "read usage of a daemon")
	}
	// Fields are counted from the end of the command name, which is in parentheses and may contain spaces.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	const userTime, systemTime = 11, 12
	if len(fields) <= systemTime {
		return us, errors.Errorf("/proc/%d/stat has only %d fields after the command name", pid, len(fields))
	}
	for _, nr := range []int{userTime, systemTime} {
		ticks, err := strconv.ParseFloat(fields[nr], 64)
		if err != nil {
			return us, errors.Wrap(err, "parse CPU time of a daemon")
		}
		us.cpuSeconds += ticks / ticksPerSecond
	}
	status, err := procFields(pid, "status")
	if err != nil {
		return us, err
	}
	io, err := procFields(pid, "io")
	if err != nil {
		return us, err
	}
	log, err := dn.log.Stat()
	if err != nil {
		return us, errors.Wrap(err, "get log size of a daemon")
	}
	us.resident, us.peakResident = status["VmRSS"]*1024, status["VmHWM"]*1024
	us.received, us.sent = io["rchar"], io["wchar"]-float64(log.Size())
	return us, nil
}

// procFields reads a file of /proc/<pid> with lines of the form "name: number" and returns the numbers by name.
func procFields(pid int, file string) (map[string]float64, error) {
	src, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", pid, file))
	if err != nil {
		return nil, errors.Wrap(err, "read usage of a daemon")
	}
	values := make(map[string]float64)
	for line := range strings.Lines(string(src)) {
		name, rest, _ := strings.Cut(line, ":")
		if words := strings.Fields(rest); len(words) > 0 {
			if value, err := strconv.ParseFloat(words[0], 64); err == nil {
				values[name] = value
			}
		}
	}
	return values, nil
}
