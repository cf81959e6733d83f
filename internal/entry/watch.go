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
	eventStream       = "text/event-stream"
	chunkBytes        = 16 << 10
	maxBufferedChunks = 16
	maxLineBytes      = 4 << 10
)

// isWatcher reports whether a request asks for a stream of server-sent events (HTML standard, section 9.2).
func isWatcher(header *fasthttp.RequestHeader) bool {
	return header.IsGet() && strings.Contains(string(header.Peek(fasthttp.HeaderAccept)), eventStream)
}

// serveWatcher serves a watcher. A watcher uses a connection to an upstream but no slot, and has no
// deadline once the upstream has responded.
func (e *Entry) serveWatcher(ctx *fasthttp.RequestCtx, x *exchange) {
	pool, ok := e.table.pool(x.service)
	if !ok {
		e.respond(ctx, notRun(fasthttp.StatusServiceUnavailable, "no upstream of "+x.service))

		return
	}

	u, err := pool.acquireWatcher()
	if err != nil {
		e.respond(ctx, notRun(fasthttp.StatusServiceUnavailable, err.Error()))

		return
	}

	c, response, r := e.openWatch(x, u)
	if response == nil {
		pool.releaseWatcher(u)
		e.respond(ctx, r)

		return
	}

	s := newStream(response.BodyStream(), e.stopping, func() {
		c.close()
		pool.releaseWatcher(u)
	})

	go s.readLoop()

	e.respond(ctx, headerResult(response))
	ctx.Response.SetBodyStream(s, -1)
}

// openWatch sends the request and reads the response header.
func (e *Entry) openWatch(x *exchange, u *upstream) (*conn, *fasthttp.Response, result) {
	callCtx, cancel := context.WithDeadline(e.ctx, x.deadline)
	defer cancel()

	c, err := dial(callCtx, u.currentAddress())
	if err != nil {
		return nil, nil, notRun(fasthttp.StatusServiceUnavailable, err.Error())
	}

	response := &fasthttp.Response{StreamBody: true}
	response.Header.SetNoDefaultContentType(true)

	_ = c.netConn.SetDeadline(x.deadline)

	err = c.write(x.request)
	if err == nil {
		err = response.ReadLimitBody(c.reader, chunkBytes)
	}

	if err != nil {
		c.close()

		return nil, nil, unknown(err.Error())
	}

	_ = c.netConn.SetDeadline(time.Time{})

	return c, response, result{}
}

// headerResult returns the response without its body, which follows as a stream.
func headerResult(response *fasthttp.Response) result {
	head := &fasthttp.Response{}
	response.Header.CopyTo(&head.Header)
	head.Header.Del(fasthttp.HeaderTransferEncoding)
	head.Header.Del(fasthttp.HeaderContentLength)

	return ran(head)
}

// stream forwards an upstream's events until they end or the entry stops. At a planned stop it ends
// after a final event of its own, which carries the last event id that was forwarded, for the caller
// to resume from.
type stream struct {
	source      io.Reader
	stopping    <-chan struct{}
	release     func()
	chunks      chan []byte
	closed      chan struct{}
	readErr     error
	unread      []byte
	line        []byte
	lastEventID string
	ended       bool
}

func newStream(source io.Reader, stopping <-chan struct{}, release func()) *stream {
	return &stream{
		source:   source,
		stopping: stopping,
		release:  release,
		chunks:   make(chan []byte, maxBufferedChunks),
		closed:   make(chan struct{}),
	}
}

// readLoop reads from the upstream until the stream ends or the caller closes it.
func (s *stream) readLoop() {
	defer close(s.chunks)

	for {
		chunk := make([]byte, chunkBytes)

		n, err := s.source.Read(chunk)
		if n > 0 {
			select {
			case s.chunks <- chunk[:n]:
			case <-s.closed:
				return
			}
		}

		if err != nil {
			s.readErr = err

			return
		}
	}
}

// Read returns the next bytes for the caller. If the upstream's stream breaks, it returns an error, so
// that the caller's stream breaks too instead of ending normally.
func (s *stream) Read(p []byte) (int, error) {
	if len(s.unread) == 0 {
		if err := s.fillBuffer(); err != nil {
			return 0, err
		}
	}

	n := copy(p, s.unread)
	s.unread = s.unread[n:]

	return n, nil
}

// Close closes the connection to the upstream.
func (s *stream) Close() error {
	close(s.closed)
	s.release()

	return nil
}

func (s *stream) fillBuffer() error {
	if s.ended {
		return io.EOF
	}

	select {
	case chunk, ok := <-s.chunks:
		return s.acceptChunk(chunk, ok)
	case <-s.stopping:
		s.ended = true
		s.unread = s.stopEvent()

		return nil
	}
}

func (s *stream) acceptChunk(chunk []byte, ok bool) error {
	if !ok {
		if errors.Is(s.readErr, io.EOF) {
			return io.EOF
		}

		return s.readErr
	}

	s.trackEventID(chunk)
	s.unread = chunk

	return nil
}

// trackEventID scans the lines for the last event id.
func (s *stream) trackEventID(chunk []byte) {
	for _, b := range chunk {
		if b != '\n' {
			if len(s.line) < maxLineBytes {
				s.line = append(s.line, b)
			}

			continue
		}

		if id, ok := bytes.CutPrefix(s.line, []byte("id:")); ok {
			s.lastEventID = strings.TrimSpace(string(id))
		}

		s.line = s.line[:0]
	}
}

// stopEvent returns the bytes that terminate a partially forwarded event, which the caller is expected
// to ignore, followed by the event that announces the planned stop.
func (s *stream) stopEvent() []byte {
	var event strings.Builder

	if len(s.line) > 0 {
		event.WriteString("\n")
	}

	event.WriteString("\nevent: mill-stop\n")

	if s.lastEventID != "" {
		event.WriteString("id: " + s.lastEventID + "\n")
	}

	event.WriteString("data: {\"resume\":\"" + s.lastEventID + "\"}\n\n")

	return []byte(event.String())
}

// acquireWatcher reserves a connection for a watcher on the upstream with the fewest watchers.
// The connections in excess of the slots are for watchers.
func (p *servicePool) acquireWatcher() (*upstream, error) {
	p.mu.Lock()
	defer p.mu.Unlock()

	var fewest *upstream

	for _, u := range p.upstreams {
		available := u.watchers < u.connectionShare-u.slotShare
		if !u.removed && available && (fewest == nil || u.watchers < fewest.watchers) {
			fewest = u
		}
	}

	if fewest == nil {
		return nil, mill.ErrNoUpstream
	}

	fewest.watchers++

	return fewest, nil
}

func (p *servicePool) releaseWatcher(u *upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()

	u.watchers--
}
