package httpd

import (
	"context"
	"net"

	"github.com/ansel1/merry/v2"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// Listen listens on the TCP address from a settings field. On failure it
// returns mill.ErrInvalid with the field and the address. Accept of the listener
// retries after errors, for example while the process has no descriptor left.
func Listen(ctx context.Context, field, address string) (net.Listener, error) {
	var config net.ListenConfig

	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, merry.Prependf(mill.ErrInvalid, "%s %q: want an address that is free on this VM: %v", field, address, err)
	}

	return &resilientListener{Listener: listener}, nil
}
