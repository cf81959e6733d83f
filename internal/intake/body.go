package intake

import (
	"errors"
	"io"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

var (
	errTooLarge = errors.New("the body is larger than the limit")
	errNoMemory = errors.New("there is no memory for the body")
	errNeverFit = errors.New("the body takes more memory than this process has for all requests")
)

const (
	// discardTime bounds the time for which the rest of a refused body is read. If it were left unread, a client that is
	// still sending would see a broken connection in place of the answer.
	discardTime = time.Second
	// discardFactor times the limit is how much of a refused body is read at most.
	discardFactor = 2
	// firstChunkBytes is the first size of the buffer for a body without an announced length.
	firstChunkBytes = 4 << 10
)

// reservation is what one request takes from the budget, and the buffer for its body if that is small.
type reservation struct {
	gate  *Gate
	bytes int64
	// free is how much of freeBytes is used.
	free  int64
	small *[freeBytes]byte
}

// smallBodies holds buffers for small bodies: most requests have one.
var smallBodies = sync.Pool{New: func() any { return new([freeBytes]byte) }}

// buffer returns a buffer for a body, which is valid until the release.
func (r *reservation) buffer(size int) []byte {
	if size > freeBytes {
		return make([]byte, size)
	}

	r.small, _ = smallBodies.Get().(*[freeBytes]byte)

	return r.small[:size]
}

// take reserves bytes. The first freeBytes are part of the memory of the connection.
func (r *reservation) take(bytes int64) error {
	free := min(bytes, freeBytes-r.free)
	r.free += free
	bytes -= free

	if bytes == 0 {
		return nil
	}

	if r.bytes+bytes > r.gate.budget.limit {
		return errNeverFit
	}

	if !r.gate.reserve(bytes) {
		return errNoMemory
	}

	r.bytes += bytes

	return nil
}

// release returns all that was taken.
func (r *reservation) release() {
	if r.bytes > 0 {
		r.gate.budget.Release(r.bytes)
	}

	if r.small != nil {
		smallBodies.Put(r.small)
	}

	*r = reservation{gate: r.gate}
}

// readBody reads a body whose memory it has reserved first.
func readBody(stream io.Reader, announced, limit int, r *reservation) ([]byte, error) {
	if announced > limit {
		return nil, errTooLarge
	}

	if announced < 0 {
		return readChunked(stream, limit, r)
	}

	if err := r.take(int64(announced)); err != nil {
		return nil, err
	}

	body := r.buffer(announced)

	_, err := io.ReadFull(stream, body)

	return body, err
}

// readChunked reads a body without an announced length, and reserves memory as it arrives.
func readChunked(stream io.Reader, limit int, r *reservation) ([]byte, error) {
	body := make([]byte, 0, firstChunkBytes)

	for {
		n, err := stream.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]

		switch {
		case len(body) > limit:
			return nil, errTooLarge
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		case len(body) < cap(body):
			continue
		default:
		}

		// While the buffer grows, its old and its new memory are in use.
		if err := r.take(int64(2 * cap(body))); err != nil {
			return nil, err
		}

		body = append(make([]byte, 0, 2*cap(body)), body...)
	}
}

// refuseBody answers a request whose body was not taken in.
func (p *Port) refuseBody(ctx *fasthttp.RequestCtx, stream io.Reader, err error, limit int) {
	switch {
	case errors.Is(err, errTooLarge), errors.Is(err, errNeverFit):
		discard(ctx, stream, limit)
		p.refuse(ctx, fasthttp.StatusRequestEntityTooLarge, refusedBody)
	case errors.Is(err, errNoMemory):
		discard(ctx, stream, limit)
		p.refuse(ctx, fasthttp.StatusServiceUnavailable, refusedMemory)
	default:
		p.refuse(ctx, fasthttp.StatusBadRequest, refusedTruncated)
	}
}

// discard reads the rest of a body, within bounds, and drops it.
func discard(ctx *fasthttp.RequestCtx, stream io.Reader, limit int) {
	inner := ctx.Conn()
	if c, ok := inner.(*conn); ok {
		inner = c.Conn
	}

	if inner.SetReadDeadline(time.Now().Add(discardTime)) != nil {
		return
	}

	_, _ = io.CopyN(io.Discard, stream, int64(discardFactor*limit))
}

func isLargeHeader(err error) bool {
	var small *fasthttp.ErrSmallBuffer

	return errors.As(err, &small)
}
