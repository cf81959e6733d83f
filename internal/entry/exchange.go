package entry

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/cranberrymill/cranberrymill/internal/ledger"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

const headerRequestID = mill.HeaderRequestID

// exchange is one request of a caller on its way to an upstream.
type exchange struct {
	service     string
	id          string
	request     *fasthttp.Request
	deadline    time.Time
	idempotent  bool
	answerLimit int
	keyed       *keyed
	// local keeps a request that came from another data centre in this one.
	local bool
}

// keyed is the intent of a keyed request.
type keyed struct {
	home    string
	key     string
	digest  []byte
	attempt ledger.Attempt
}

// result is how an exchange ended.
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

// idempotentMethod reports what RFC 9110 section 9.2.2 says of a method.
func idempotentMethod(method string) bool {
	switch method {
	case fasthttp.MethodGet, fasthttp.MethodHead, fasthttp.MethodOptions,
		fasthttp.MethodTrace, fasthttp.MethodPut, fasthttp.MethodDelete:
		return true
	default:
		return false
	}
}
