package wire

import (
	"context"
	"errors"

	"storj.io/drpc/drpcerr"

	"github.com/ansel1/merry/v2"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// sentinels lists the errors that are preserved across calls. The code of an
// error is its index plus one, so the order must not change.
var sentinels = []error{
	mill.ErrNotPrimary,
	mill.ErrStaleEpoch,
	mill.ErrUnavailable,
	mill.ErrFull,
	mill.ErrConflict,
	mill.ErrInvalid,
	mill.ErrNotFound,
	mill.ErrNoUpstream,
	mill.ErrNoQueue,
	mill.ErrUnauthenticated,
	mill.ErrForbidden,
}

// withCode marks an error with the code of the sentinel it wraps.
func withCode(err error) error {
	for i, sentinel := range sentinels {
		if errors.Is(err, sentinel) {
			return drpcerr.WithCode(err, uint64(i+1))
		}
	}

	return err
}

// fromCode returns an error that wraps the same sentinel as the peer's error,
// mill.ErrUnreachable if the connection failed, or else mill.ErrUnavailable.
func fromCode(ctx context.Context, err error) error {
	if errors.Is(err, mill.ErrUnreachable) {
		return err
	}

	code := drpcerr.Code(err)
	if code >= 1 && code <= uint64(len(sentinels)) {
		return merry.Prepend(sentinels[code-1], err.Error(), merry.NoCaptureStack())
	}

	if ctx.Err() != nil {
		return merry.Prepend(mill.ErrUnavailable, ctx.Err().Error(), merry.NoCaptureStack())
	}

	return merry.Prepend(mill.ErrUnavailable, err.Error(), merry.NoCaptureStack())
}
