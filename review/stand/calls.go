package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"
)

// answer is the answer to a call; its status is 0 if there was none.
type answer struct {
	status int
	body   []byte
}

func (a answer) ok() bool { return a.status >= 200 && a.status < 300 }

// call sends a request over a channel of its own and waits for the answer.
func call(method, address, path string, headers map[string]string, body any, limit time.Duration) answer {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()

	var content io.Reader

	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return answer{}
		}

		content = bytes.NewReader(data)
	}

	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, content)
	if err != nil {
		return answer{}
	}

	for name, value := range headers {
		request.Header.Set(name, value)
	}

	if host, ok := headers["Host"]; ok {
		request.Host = host
	}

	request.Header.Set("Content-Type", "application/json")
	request.Close = true

	client := &http.Client{Transport: &http.Transport{
		DialContext:       (&net.Dialer{}).DialContext,
		DisableKeepAlives: true,
	}}

	response, err := client.Do(request)
	if err != nil {
		return answer{}
	}
	defer response.Body.Close()

	data, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{}
	}

	return answer{status: response.StatusCode, body: data}
}

// serve answers HTTP requests at an address until the returned function is called.
func serve(address string, handler http.Handler) (stop func(), err error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}

	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}

	go func() { _ = server.Serve(listener) }()

	return func() { _ = server.Close() }, nil
}

// reply writes a JSON body with a status.
func reply(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)

	_ = json.NewEncoder(writer).Encode(body)
}
