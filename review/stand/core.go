package main

import (
	"math/rand/v2"
	"os/exec"
	"runtime"
	"syscall"
	"unsafe"
)

// affinity is a set of up to 1024 processors.
type affinity [16]uint64

// startOnOneCore starts a program on one core, as on the platform's machines. A child inherits the cores of the thread
// that starts it.
func startOnOneCore(command *exec.Cmd) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()

	var all affinity

	if err := coresOf(syscall.SYS_SCHED_GETAFFINITY, &all); err != nil {
		return err
	}

	one := all.pick()
	if err := coresOf(syscall.SYS_SCHED_SETAFFINITY, &one); err != nil {
		return err
	}

	err := command.Start()

	if restored := coresOf(syscall.SYS_SCHED_SETAFFINITY, &all); err == nil {
		err = restored
	}

	return err
}

// coresOf reads or sets the cores of the calling thread.
func coresOf(number uintptr, set *affinity) error {
	_, _, errno := syscall.RawSyscall(number, 0, unsafe.Sizeof(*set), uintptr(unsafe.Pointer(set)))
	if errno != 0 {
		return errno
	}

	return nil
}

// pick returns a set with one of the processors.
func (a *affinity) pick() affinity {
	var members []int

	for i := range len(a) * 64 {
		if a[i/64]>>(i%64)&1 == 1 {
			members = append(members, i)
		}
	}

	chosen := members[rand.IntN(len(members))]

	var one affinity

	one[chosen/64] = 1 << (chosen % 64)

	return one
}
