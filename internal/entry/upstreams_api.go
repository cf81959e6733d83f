package entry

import (
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/valyala/fasthttp"

	"github.com/cranberrymill/cranberrymill/internal/conf"
	"github.com/cranberrymill/cranberrymill/internal/httpd"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// UpstreamStatus is an upstream as one entry sees it.
type UpstreamStatus struct {
	mill.Announcement

	AgeMilli int64 `json:"ageMilli"`
	Share    int   `json:"share"`
}

// Accepted answers a call that has been carried out.
type Accepted struct {
	ID string `json:"id"`
}

func (e *Entry) postUpstream(ctx *fasthttp.RequestCtx, _ string) {
	var told mill.Announcement

	if err := conf.DecodeJSON(ctx.PostBody(), &told); err != nil {
		httpd.WriteError(ctx, err)

		return
	}

	if told.DataCentre == "" {
		told.DataCentre = e.vm.DataCentre()
	}

	if told.DataCentre != e.vm.DataCentre() {
		httpd.WriteError(ctx, merry.Prependf(mill.ErrInvalid,
			"dataCentre %q: this entry serves %q", told.DataCentre, e.vm.DataCentre()))

		return
	}

	if err := told.Validate(); err != nil {
		httpd.WriteError(ctx, err)

		return
	}

	e.announce(told)
	httpd.WriteJSON(ctx, fasthttp.StatusOK, Accepted{ID: told.ID})
}

func (e *Entry) deleteUpstream(ctx *fasthttp.RequestCtx, id string) {
	incarnation, _ := strconv.ParseUint(string(ctx.QueryArgs().Peek("incarnation")), 10, 64)

	if !e.leave(id, incarnation) {
		httpd.WriteError(ctx, merry.Prependf(mill.ErrNotFound, "upstream %q", id))

		return
	}

	httpd.WriteJSON(ctx, fasthttp.StatusOK, Accepted{ID: id})
}

func (e *Entry) getUpstreams(ctx *fasthttp.RequestCtx, _ string) {
	beats := e.table.list(time.Now())
	statuses := make([]UpstreamStatus, 0, len(beats))

	for _, b := range beats {
		statuses = append(statuses, UpstreamStatus{
			Announcement: b.told, AgeMilli: b.age.Milliseconds(), Share: b.share,
		})
	}

	httpd.WriteJSON(ctx, fasthttp.StatusOK, statuses)
}
