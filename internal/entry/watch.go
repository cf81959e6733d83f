package entry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

const (
	eventStream  = "text/event-stream"
	watchChunk   = 16 << 10
	watchChunks  = 16
	maxEventLine = 4 << 10
)

// isWatcher reports whether a request asks for a stream of events (the HTML
// standard, section 9.2).
func isWatcher(header *fasthttp.RequestHeader) bool {
	return header.IsGet() && strings.Contains(string(header.Peek(fasthttp.HeaderAccept)), eventStream)
}

// watch answers a watcher. It holds a connection to an upstream and no slot,
// and has no deadline once the upstream has answered.
func (e *Entry) watch(ctx *fasthttp.RequestCtx, x *exchange) {
	l, ok := e.table.lane(x.service)
	if !ok {
		e.answer(ctx, notRun(fasthttp.StatusServiceUnavailable, "no upstream of "+x.service))

		return
	}

	u, err := l.acquireWatcher()
	if err != nil {
		e.answer(ctx, notRun(fasthttp.StatusServiceUnavailable, err.Error()))

		return
	}

	c, response, r := e.openWatch(x, u)
	if response == nil {
		l.releaseWatcher(u)
		e.answer(ctx, r)

		return
	}

	s := newStream(response.BodyStream(), e.stopping, func() {
		c.close()
		l.releaseWatcher(u)
	})

	go s.pump()

	e.answer(ctx, headOf(response))
	ctx.Response.SetBodyStream(s, -1)
}

// openWatch sends the request and reads the head of the answer.
func (e *Entry) openWatch(x *exchange, u *upstream) (*conn, *fasthttp.Response, result) {
	limit, cancel := context.WithDeadline(e.ctx, x.deadline)
	defer cancel()

	c, err := dial(limit, u.where())
	if err != nil {
		return nil, nil, notRun(fasthttp.StatusServiceUnavailable, err.Error())
	}

	response := &fasthttp.Response{StreamBody: true}
	response.Header.SetNoDefaultContentType(true)

	_ = c.net.SetDeadline(x.deadline)

	err = c.write(x.request)
	if err == nil {
		err = response.ReadLimitBody(c.reader, watchChunk)
	}

	if err != nil {
		c.close()

		return nil, nil, unknown(err.Error())
	}

	_ = c.net.SetDeadline(time.Time{})

	return c, response, result{}
}

// headOf returns the answer without its body, which follows as a stream.
func headOf(response *fasthttp.Response) result {
	head := &fasthttp.Response{}
	response.Header.CopyTo(&head.Header)
	head.Header.Del(fasthttp.HeaderTransferEncoding)
	head.Header.Del(fasthttp.HeaderContentLength)

	return ran(head)
}

// stream passes an upstream's events on until they end or the entry stops. At
// a planned stop it ends between two events with one of its own, which names
// the last id that was passed on as the token to resume from.
type stream struct {
	source   io.Reader
	stopping <-chan struct{}
	release  func()
	chunks   chan []byte
	closed   chan struct{}
	failure  error
	rest     []byte
	line     []byte
	lastID   string
	ended    bool
}

func newStream(source io.Reader, stopping <-chan struct{}, release func()) *stream {
	return &stream{
		source:   source,
		stopping: stopping,
		release:  release,
		chunks:   make(chan []byte, watchChunks),
		closed:   make(chan struct{}),
	}
}

// pump reads the upstream until it ends or the caller has gone.
func (s *stream) pump() {
	defer close(s.chunks)

	for {
		chunk := make([]byte, watchChunk)

		n, err := s.source.Read(chunk)
		if n > 0 {
			select {
			case s.chunks <- chunk[:n]:
			case <-s.closed:
				return
			}
		}

		if err != nil {
			s.failure = err

			return
		}
	}
}

// Read returns the next bytes for the caller. A broken stream of the upstream
// is an error, so that the caller's stream breaks and does not end.
func (s *stream) Read(p []byte) (int, error) {
	if len(s.rest) == 0 {
		if err := s.fill(); err != nil {
			return 0, err
		}
	}

	n := copy(p, s.rest)
	s.rest = s.rest[n:]

	return n, nil
}

// Close ends the stream to the upstream.
func (s *stream) Close() error {
	close(s.closed)
	s.release()

	return nil
}

func (s *stream) fill() error {
	if s.ended {
		return io.EOF
	}

	select {
	case chunk, ok := <-s.chunks:
		return s.take(chunk, ok)
	case <-s.stopping:
		s.ended = true
		s.rest = s.lastEvent()

		return nil
	}
}

func (s *stream) take(chunk []byte, ok bool) error {
	if !ok {
		if errors.Is(s.failure, io.EOF) {
			return io.EOF
		}

		return s.failure
	}

	s.note(chunk)
	s.rest = chunk

	return nil
}

// note follows the lines for the last event id.
func (s *stream) note(chunk []byte) {
	for _, b := range chunk {
		if b != '\n' {
			if len(s.line) < maxEventLine {
				s.line = append(s.line, b)
			}

			continue
		}

		if id, ok := bytes.CutPrefix(s.line, []byte("id:")); ok {
			s.lastID = strings.TrimSpace(string(id))
		}

		s.line = s.line[:0]
	}
}

// lastEvent ends whatever event was under way, which its caller then ignores,
// and adds the event of the planned stop.
func (s *stream) lastEvent() []byte {
	var event strings.Builder

	if len(s.line) > 0 {
		event.WriteString("\n")
	}

	event.WriteString("\nevent: mill-stop\n")

	if s.lastID != "" {
		event.WriteString("id: " + s.lastID + "\n")
	}

	event.WriteString("data: {\"resume\":\"" + s.lastID + "\"}\n\n")

	return []byte(event.String())
}

// acquireWatcher takes a connection for a watcher from the upstream with the
// fewest; connections beyond the slots are for watchers.
func (l *lane) acquireWatcher() (*upstream, error) {
	l.mu.Lock()
	defer l.mu.Unlock()

	var fewest *upstream

	for _, u := range l.upstreams {
		room := u.watchers < u.connections-u.share
		if !u.leaving && room && (fewest == nil || u.watchers < fewest.watchers) {
			fewest = u
		}
	}

	if fewest == nil {
		return nil, mill.ErrNoUpstream
	}

	fewest.watchers++

	return fewest, nil
}

func (l *lane) releaseWatcher(u *upstream) {
	l.mu.Lock()
	defer l.mu.Unlock()

	u.watchers--
}
