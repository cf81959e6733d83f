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

// UpstreamStatus is an upstream as seen by one entry.
type UpstreamStatus struct {
	mill.Announcement

	AgeMilli int64 `json:"ageMilli"`
	Share    int   `json:"share"`
}

// AcceptedReply holds the id of the upstream or job that an accepted call refers to.
type AcceptedReply struct {
	ID string `json:"id"`
}

func (e *Entry) postUpstream(ctx *fasthttp.RequestCtx, _ string) {
	var announcement mill.Announcement

	if err := conf.DecodeJSON(ctx.PostBody(), &announcement); err != nil {
		httpd.WriteError(ctx, err)

		return
	}

	if announcement.DataCentre == "" {
		announcement.DataCentre = e.vm.DataCentre()
	}

	if announcement.DataCentre != e.vm.DataCentre() {
		httpd.WriteError(ctx, merry.Prependf(mill.ErrInvalid,
			"dataCentre %q: want %q, which this entry serves", announcement.DataCentre, e.vm.DataCentre()))

		return
	}

	if err := announcement.Validate(); err != nil {
		httpd.WriteError(ctx, err)

		return
	}

	e.announce(announcement)
	httpd.WriteJSON(ctx, fasthttp.StatusOK, AcceptedReply{ID: announcement.ID})
}

func (e *Entry) deleteUpstream(ctx *fasthttp.RequestCtx, id string) {
	incarnation, _ := strconv.ParseUint(string(ctx.QueryArgs().Peek("incarnation")), 10, 64)

	if !e.leave(id, incarnation) {
		httpd.WriteError(ctx, merry.Prependf(mill.ErrNotFound, "upstream %q", id))

		return
	}

	httpd.WriteJSON(ctx, fasthttp.StatusOK, AcceptedReply{ID: id})
}

func (e *Entry) getUpstreams(ctx *fasthttp.RequestCtx, _ string) {
	upstreams := e.table.list(time.Now())
	statuses := make([]UpstreamStatus, 0, len(upstreams))

	for _, u := range upstreams {
		statuses = append(statuses, UpstreamStatus{
			Announcement: u.announcement, AgeMilli: u.age.Milliseconds(), Share: u.slotShare,
		})
	}

	httpd.WriteJSON(ctx, fasthttp.StatusOK, statuses)
}
