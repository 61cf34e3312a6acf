package rundir

import (
	"os/signal"
	"syscall"
)

// deaf makes this process ignore the word to end.
func deaf() { signal.Ignore(syscall.SIGTERM) }

func syscallStop(pid int) { syscall.Kill(pid, syscall.SIGSTOP) }
