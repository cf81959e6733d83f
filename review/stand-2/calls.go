package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"
)

// client keeps no connections, so that each call shows what a new channel gets.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// call sends a request with a JSON body, if there is one, and decodes the response. A status of 0 means no answer.
func call(method, address, path, host string, body any, timeout time.Duration) (status int, answer map[string]any) {
	var data io.Reader

	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return 0, nil
		}

		data = bytes.NewReader(encoded)
	}

	request, err := http.NewRequest(method, "http://"+address+path, data)
	if err != nil {
		return 0, nil
	}

	if host != "" {
		request.Host = host
		request.Header.Set("X-Deadline-Ms", "3000")
	}

	request.Header.Set("Content-Type", "application/json")

	bounded := *client
	bounded.Timeout = timeout

	response, err := bounded.Do(request)
	if err != nil {
		return 0, nil
	}

	defer func() { _ = response.Body.Close() }()

	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}

	_ = json.Unmarshal(text, &answer)

	return response.StatusCode, answer
}

func reply(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(body)
}

// serve answers requests at an address until the returned function is called, which resets open channels.
func serve(address string, handler http.Handler) (stop func(), err error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}

	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}

	go func() { _ = server.Serve(listener) }()

	return func() { _ = server.Close() }, nil
}
