package proc

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// FreePort returns a port that is free at an address.
func FreePort(t testing.TB, ip string) int {
	t.Helper()

	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", net.JoinHostPort(ip, "0"))
	assert.NilError(t, err)

	defer func() { assert.NilError(t, listener.Close()) }()

	address, ok := listener.Addr().(*net.TCPAddr)
	assert.Assert(t, ok)

	return address.Port
}
