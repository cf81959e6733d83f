// Package boot reads the clock that goes on while the VM is suspended.
package boot
