package entry

import (
	"context"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/phuslu/log"
	"github.com/valyala/fasthttp"

	"github.com/cranberrymill/cranberrymill/internal/conf"
	"github.com/cranberrymill/cranberrymill/internal/ctrl"
	"github.com/cranberrymill/cranberrymill/internal/httpd"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

const (
	changeTimeout   = 10 * time.Second
	maxAuditRecords = 1000
)

// ChangeRequest is a request to replace the declarations or to select another preset.
type ChangeRequest struct {
	ID           string             `json:"id"`
	Base         uint64             `json:"base"`
	Who          string             `json:"who"`
	Why          string             `json:"why"`
	Declarations *mill.Declarations `json:"declarations,omitempty"`
	Preset       string             `json:"preset,omitempty"`
}

// ChangeReply is the verdict on a change.
type ChangeReply struct {
	Accepted bool   `json:"accepted"`
	Version  uint64 `json:"version"`
	Winner   string `json:"winner,omitempty"`
	Who      string `json:"who,omitempty"`
	Reason   string `json:"reason,omitempty"`
}

// ConfigReply is the configuration that an entry uses.
type ConfigReply struct {
	Version      uint64            `json:"version"`
	Digest       string            `json:"digest"`
	Preset       string            `json:"preset"`
	Declarations mill.Declarations `json:"declarations"`
}

func (e *Entry) getConfig(ctx *fasthttp.RequestCtx, _ string) {
	view := e.control.View()

	httpd.WriteJSON(ctx, fasthttp.StatusOK, ConfigReply{
		Version:      view.Version,
		Digest:       view.Digest,
		Preset:       view.Declarations.Preset,
		Declarations: view.Declarations,
	})
}

func (e *Entry) postConfig(ctx *fasthttp.RequestCtx, _ string) {
	e.postChange(ctx, func(request *ChangeRequest) error {
		if request.Declarations == nil || request.Preset != "" {
			return merry.Prepend(mill.ErrInvalid, "declarations: required, and preset must be empty")
		}

		return request.Declarations.Validate()
	})
}

func (e *Entry) postPreset(ctx *fasthttp.RequestCtx, _ string) {
	e.postChange(ctx, func(request *ChangeRequest) error {
		if request.Declarations != nil {
			return merry.Prepend(mill.ErrInvalid, "declarations: must be empty in a change of the preset")
		}

		return mill.ValidateName("preset", request.Preset)
	})
}

func (e *Entry) postChange(ctx *fasthttp.RequestCtx, check func(request *ChangeRequest) error) {
	var request ChangeRequest

	if err := conf.DecodeJSON(ctx.PostBody(), &request); err != nil {
		httpd.WriteError(ctx, err)

		return
	}

	if err := mill.ValidateName("id", request.ID); err != nil {
		httpd.WriteError(ctx, err)

		return
	}

	if err := check(&request); err != nil {
		httpd.WriteError(ctx, err)

		return
	}

	e.propose(ctx, &request)
}

func (e *Entry) propose(ctx *fasthttp.RequestCtx, request *ChangeRequest) {
	callCtx, cancel := context.WithTimeout(e.ctx, changeTimeout)
	defer cancel()

	verdict, err := e.control.Propose(callCtx, &ctrl.Command{Change: &ctrl.Change{
		ID:           request.ID,
		Base:         request.Base,
		Who:          request.Who,
		Why:          request.Why,
		UnixMilli:    time.Now().UnixMilli(),
		Declarations: request.Declarations,
		Preset:       request.Preset,
	}})
	if err != nil {
		httpd.WriteError(ctx, err)

		return
	}

	// An operator who reads from the entry that replied expects to see the change.
	if verdict.Accepted && !e.control.AwaitVersion(callCtx, verdict.Version) {
		log.Warn().Uint64("version", verdict.Version).Msg("accepted change is not yet in use on this entry")
	}

	status := fasthttp.StatusOK
	if !verdict.Accepted {
		status = fasthttp.StatusConflict
	}

	httpd.WriteJSON(ctx, status, ChangeReply{
		Accepted: verdict.Accepted,
		Version:  verdict.Version,
		Winner:   verdict.Winner,
		Who:      verdict.Who,
		Reason:   verdict.Reason,
	})
}

func (e *Entry) getAudit(ctx *fasthttp.RequestCtx, _ string) {
	after, _ := strconv.ParseUint(string(ctx.QueryArgs().Peek("after")), 10, 64)

	callCtx, cancel := context.WithTimeout(e.ctx, changeTimeout)
	defer cancel()

	records, err := e.control.Audit(callCtx, after, maxAuditRecords)
	if err != nil {
		httpd.WriteError(ctx, err)

		return
	}

	httpd.WriteJSON(ctx, fasthttp.StatusOK, records)
}
