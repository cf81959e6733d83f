package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"sync"
	"sync/atomic"
)

// answerThief is a proxy in front of one control address. While it steals, the answers to DELETE calls are lost on
// their way: the call reaches the daemon, and its caller hears nothing.
type answerThief struct {
	steals atomic.Bool
	record *recorder
}

// serve passes calls from one address on to another until the returned function is called.
func (t *answerThief) serve(address, target string) (stop func(), err error) {
	forward := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: target})
	forward.Transport = &http.Transport{DialContext: (&net.Dialer{}).DialContext, DisableKeepAlives: true}

	return serve(address, http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.Method != http.MethodDelete || !t.steals.Load() {
			forward.ServeHTTP(writer, request)

			return
		}

		status := t.pass(request, target)
		t.record.logf("proxy: answer %d to %s %s is lost", status, request.Method, request.URL.Path)

		<-request.Context().Done()
	}))
}

// pass sends a request on and reads its answer.
func (t *answerThief) pass(request *http.Request, target string) int {
	copied, err := http.NewRequest(request.Method, "http://"+target+request.URL.Path, nil)
	if err != nil {
		return 0
	}

	copied.Close = true

	response, err := http.DefaultClient.Do(copied)
	if err != nil {
		return 0
	}
	defer response.Body.Close()

	_, _ = io.Copy(io.Discard, response.Body)

	return response.StatusCode
}

// orderHolder is a proxy in front of an executor. It holds back one start order: its sender gets no answer, and the
// order arrives later.
type orderHolder struct {
	record *recorder
	target string
	// job is the one whose first start order is held back.
	job string

	mu    sync.Mutex
	held  []byte
	names http.Header
}

func (h *orderHolder) handler() http.Handler {
	forward := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: h.target})
	forward.ErrorHandler = func(writer http.ResponseWriter, _ *http.Request, _ error) { panic(http.ErrAbortHandler) }
	forward.Transport = &http.Transport{DialContext: (&net.Dialer{}).DialContext, DisableKeepAlives: true}

	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}

		if h.keeps(request, body) {
			<-request.Context().Done()

			return
		}

		request.Body = io.NopCloser(bytes.NewReader(body))
		forward.ServeHTTP(writer, request)
	})
}

// keeps reports whether an order is held back.
func (h *orderHolder) keeps(request *http.Request, body []byte) bool {
	var o order

	h.mu.Lock()
	defer h.mu.Unlock()

	if h.held != nil || request.URL.Path != "/cranberrymill/run-start" || json.Unmarshal(body, &o) != nil ||
		jobOf(o.Task) != h.job {
		return false
	}

	h.held, h.names = body, request.Header.Clone()
	h.record.logf("proxy: start order for %s, run %d, is held up", o.Task, o.Run)

	return true
}

// deliver sends the order that was held back.
func (h *orderHolder) deliver() error {
	h.mu.Lock()
	defer h.mu.Unlock()

	request, err := http.NewRequest(http.MethodPost, "http://"+h.target+"/cranberrymill/run-start", bytes.NewReader(h.held))
	if err != nil {
		return err
	}

	request.Header = h.names
	request.Close = true

	h.record.logf("proxy: the held up order arrives: %s", h.held)

	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()

	h.record.logf("proxy: its answer is %d", response.StatusCode)

	return nil
}

// darkener is a proxy in front of an executor. Once the executor has gone dark, bytes are no longer passed on, and
// nothing is answered or reset.
type darkener struct {
	dark atomic.Bool
}

// serve passes channels from one address on to another until the returned function is called.
func (d *darkener) serve(address, target string) (stop func(), err error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}

	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}

			go d.pass(conn, target)
		}
	}()

	return func() { _ = listener.Close() }, nil
}

func (d *darkener) pass(conn net.Conn, target string) {
	defer conn.Close()

	if d.dark.Load() {
		_, _ = io.Copy(io.Discard, conn)

		return
	}

	peer, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer peer.Close()

	go d.copy(conn, peer)

	d.copy(peer, conn)
}

// copy passes bytes on, or drops them in the dark.
func (d *darkener) copy(to, from net.Conn) {
	buffer := make([]byte, 1<<15)

	for {
		count, err := from.Read(buffer)
		if err != nil {
			if !d.dark.Load() {
				_ = to.Close()
			}

			return
		}

		if !d.dark.Load() {
			_, _ = to.Write(buffer[:count])
		}
	}
}
