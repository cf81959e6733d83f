package cmds

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"os/user"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/ansel1/merry/v2"
	"github.com/valyala/fasthttp"

	"github.com/cranberrymill/cranberrymill/internal/conf"
	"github.com/cranberrymill/cranberrymill/internal/httpd"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

const (
	callTime = 15 * time.Second
	keyBytes = 8
)

// client calls the operators' interface of an entry.
type client struct {
	address *string
	key     string
}

func newClient(clause *kingpin.CmdClause) *client {
	return &client{
		address: clause.Flag("entry", "Address of an entry.").Default(conf.SingleHTTP).Envar("CRANBERRYMILL_ENTRY").String(),
	}
}

// call sends a request and fills reply from the answer. Accepted statuses are
// those of success; a conflict fills reply too and is an error.
func (c *client) call(method, path string, body, reply any) error {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)

	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)

	request.SetRequestURI("http://" + *c.address + path)
	request.Header.SetMethod(method)

	if c.key != "" {
		request.Header.Set(mill.HeaderIdempotencyKey, c.key)
	}

	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return err
		}

		request.Header.SetContentType("application/json")
		request.SetBody(data)
	}

	if err := fasthttp.DoTimeout(request, response, callTime); err != nil {
		return merry.Errorf("no answer from the entry at %s, name another with --entry: %v", *c.address, err)
	}

	return decodeReply(response, reply)
}

func decodeReply(response *fasthttp.Response, reply any) error {
	status := response.StatusCode()

	if status >= fasthttp.StatusBadRequest {
		var problem httpd.ErrorResponse

		if err := json.Unmarshal(response.Body(), &problem); err == nil && problem.Error != "" {
			return refusal(status, problem.Error)
		}
	}

	if err := json.Unmarshal(response.Body(), reply); err != nil {
		return merry.Errorf("the entry answered %d with something that is not JSON: %v", status, err)
	}

	return nil
}

func refusal(status int, reason string) error {
	if status == fasthttp.StatusBadRequest {
		return merry.Prepend(mill.ErrInvalid, reason)
	}

	return merry.Apply(errRefused, merry.WithMessage(reason))
}

// show writes a value as indented JSON.
func show(value any) error {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err
	}

	fmt.Println(string(data))

	return nil
}

// newID returns an id for a change or a job that was not given one.
func newID() string {
	var raw [keyBytes]byte

	_, _ = rand.Read(raw[:])

	return hex.EncodeToString(raw[:])
}

// whoFlag declares who a change is ascribed to in the audit trail.
func whoFlag(clause *kingpin.CmdClause) *string {
	return clause.Flag("who", "Who makes the change, for the audit trail.").Default(currentUser()).String()
}

func currentUser() string {
	if known, err := user.Current(); err == nil {
		return known.Username
	}

	return strings.TrimSpace(os.Getenv("USER"))
}
