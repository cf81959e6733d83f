package entry

import (
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/cranberrymill/cranberrymill/internal/ledger"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

const headerRequestID = mill.HeaderRequestID

// exchange is a caller's request and how it is to be run.
type exchange struct {
	service          string
	id               string
	request          *fasthttp.Request
	deadline         time.Time
	idempotent       bool
	maxResponseBytes int
	intent           *intent
	// localOnly is set for a request that another data centre forwarded: it must not be forwarded again.
	localOnly bool
	// users counts those who still use the request; release is called once there are none.
	users   atomic.Int64
	release func()
}

// retain notes one more user of the request.
func (x *exchange) retain() { x.users.Add(1) }

// done notes that a user no longer needs the request.
func (x *exchange) done() {
	if x.users.Add(-1) == 0 && x.release != nil {
		x.release()
	}
}

// intent identifies the record of a request with an idempotency key in the ledger.
type intent struct {
	home    string
	key     string
	digest  []byte
	attempt ledger.Attempt
}

// result is the outcome of an exchange, with the response if an upstream sent one.
type result struct {
	outcome  mill.Outcome
	response *fasthttp.Response
	status   int
	reason   string
}

func notRun(status int, reason string) result {
	return result{outcome: mill.OutcomeNotRun, status: status, reason: reason}
}

func unknown(reason string) result {
	return result{outcome: mill.OutcomeUnknown, status: fasthttp.StatusGatewayTimeout, reason: reason}
}

func ran(response *fasthttp.Response) result {
	return result{outcome: mill.OutcomeRan, response: response, status: response.StatusCode()}
}

// idempotentMethod reports whether a method is idempotent according to RFC 9110 section 9.2.2.
func idempotentMethod(method string) bool {
	switch method {
	case fasthttp.MethodGet, fasthttp.MethodHead, fasthttp.MethodOptions,
		fasthttp.MethodTrace, fasthttp.MethodPut, fasthttp.MethodDelete:
		return true
	default:
		return false
	}
}
