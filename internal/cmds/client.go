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
	callTimeout = 15 * time.Second
	idBytes     = 8
)

// client calls the API of an entry or of a store.
type client struct {
	address *string
	// role names the process that is called, and the flag for its address.
	role string
	key  string
}

func newClient(clause *kingpin.CmdClause) *client {
	return &client{
		role:    "entry",
		address: clause.Flag("entry", "Address of an entry.").Default(conf.SingleHTTP).Envar("CRANBERRYMILL_ENTRY").String(),
	}
}

// call sends a request and decodes the response into reply. A status of 400 or more whose body
// states an error is returned as that error; any other body is decoded.
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

	if err := fasthttp.DoTimeout(request, response, callTimeout); err != nil {
		return merry.Errorf("no answer from the %s at %s, name another with --%s: %v", c.role, *c.address, c.role, err)
	}

	return c.decodeReply(response, reply)
}

func (c *client) decodeReply(response *fasthttp.Response, reply any) error {
	status := response.StatusCode()

	if status >= fasthttp.StatusBadRequest {
		var problem httpd.ErrorResponse

		if err := json.Unmarshal(response.Body(), &problem); err == nil && problem.Error != "" {
			return refusal(status, problem.Error)
		}
	}

	if err := json.Unmarshal(response.Body(), reply); err != nil {
		return merry.Errorf("the %s answered %d with unexpected content, check the address in --%s: %v",
			c.role, status, c.role, err)
	}

	return nil
}

func refusal(status int, reason string) error {
	if status == fasthttp.StatusBadRequest {
		return merry.Prepend(mill.ErrInvalid, reason)
	}

	return merry.Apply(errRefused, merry.WithMessage(reason))
}

// printJSON prints a value as indented JSON.
func printJSON(value any) error {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err
	}

	fmt.Println(string(data))

	return nil
}

// newID returns a random id, for a change or a job without one.
func newID() string {
	var raw [idBytes]byte

	_, _ = rand.Read(raw[:])

	return hex.EncodeToString(raw[:])
}

// whoFlag declares the flag that names the author of a change in the audit trail.
func whoFlag(clause *kingpin.CmdClause) *string {
	return clause.Flag("who", "Who makes the change, for the audit trail.").Default(currentUser()).String()
}

func currentUser() string {
	if current, err := user.Current(); err == nil {
		return current.Username
	}

	return strings.TrimSpace(os.Getenv("USER"))
}
