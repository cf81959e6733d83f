package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/valyala/fasthttp"

	"github.com/cranberrymill/cranberrymill/internal/conf"
	"github.com/cranberrymill/cranberrymill/internal/httpd"
	"github.com/cranberrymill/cranberrymill/internal/ledger"
	"github.com/cranberrymill/cranberrymill/internal/sched"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

const (
	jobTimeout    = 10 * time.Second
	jobIDBytes    = 8
	maxListedJobs = 1000
)

// JobReply is a job with its overall state.
type JobReply struct {
	mill.Job

	State mill.TaskState `json:"state"`
}

func (e *Entry) postJob(ctx *fasthttp.RequestCtx, _ string) {
	var spec mill.JobSpec

	if err := conf.DecodeJSON(ctx.PostBody(), &spec); err != nil {
		httpd.WriteError(ctx, err)

		return
	}

	if err := spec.Validate(); err != nil {
		httpd.WriteError(ctx, err)

		return
	}

	key := string(ctx.Request.Header.Peek(mill.HeaderIdempotencyKey))
	if err := mill.ValidateName(mill.HeaderIdempotencyKey, key); err != nil {
		httpd.WriteError(ctx, err)

		return
	}

	home := e.jobHome(spec.Team)
	if len(e.settings.ClusterMap().In(home)) == 0 {
		httpd.WriteError(ctx, merry.Prependf(mill.ErrInvalid,
			"team %q: declared home %q: want a data centre of the cluster file", spec.Team, home))

		return
	}

	id := jobID(home, spec.Team, key)

	if _, err := e.proposeJob(home, ledger.Command{Submit: &ledger.Submit{ID: id, Spec: spec}}); err != nil {
		httpd.WriteError(ctx, err)

		return
	}

	httpd.WriteJSON(ctx, fasthttp.StatusAccepted, AcceptedReply{ID: id})
}

func (e *Entry) getJob(ctx *fasthttp.RequestCtx, rest string) {
	id, explain := strings.CutSuffix(rest, "/explain")
	if explain {
		e.explainJob(ctx, id)

		return
	}

	job, err := e.findJob(id)
	if err != nil {
		httpd.WriteError(ctx, err)

		return
	}

	httpd.WriteJSON(ctx, fasthttp.StatusOK, JobReply{Job: *job, State: job.State()})
}

func (e *Entry) findJob(id string) (*mill.Job, error) {
	ctx, cancel := context.WithTimeout(e.ctx, jobTimeout)
	defer cancel()

	reply, err := e.ledgers.Find(ctx, homeFromID(id), id)
	if errors.Is(err, mill.ErrNotFound) || (err == nil && !reply.Found) {
		return nil, merry.Prependf(mill.ErrNotFound, "job %q", id)
	}

	if err != nil {
		return nil, err
	}

	return &reply.Job, nil
}

// explainJob asks the active scheduler to explain the job's state, unless the job has finished:
// schedulers know only unfinished jobs.
func (e *Entry) explainJob(ctx *fasthttp.RequestCtx, id string) {
	job, err := e.findJob(id)
	if err != nil {
		httpd.WriteError(ctx, err)

		return
	}

	if job.Final() {
		httpd.WriteJSON(ctx, fasthttp.StatusOK, sched.ExplainReply{
			Job: id, Verdict: "the job has finished: " + string(job.State()),
		})

		return
	}

	reply, err := callScheduler[sched.ExplainRequest, sched.ExplainReply](
		e, sched.MethodExplain, &sched.ExplainRequest{Job: id})
	if err != nil {
		httpd.WriteError(ctx, err)

		return
	}

	httpd.WriteJSON(ctx, fasthttp.StatusOK, reply)
}

// getJobs lists the jobs of every data centre whose ledger answers.
func (e *Entry) getJobs(ctx *fasthttp.RequestCtx, _ string) {
	callCtx, cancel := context.WithTimeout(e.ctx, jobTimeout)
	defer cancel()

	jobs := []JobReply{}

	for _, dataCentre := range e.settings.ClusterMap().DataCentres {
		reply, err := e.ledgers.Changes(callCtx, &ledger.ChangesRequest{Ledger: dataCentre.Name, Limit: maxListedJobs})
		if err != nil {
			continue
		}

		for i := range reply.Jobs {
			jobs = append(jobs, JobReply{Job: reply.Jobs[i], State: reply.Jobs[i].State()})
		}
	}

	httpd.WriteJSON(ctx, fasthttp.StatusOK, jobs)
}

func (e *Entry) deleteJob(ctx *fasthttp.RequestCtx, id string) {
	result, err := e.proposeJob(homeFromID(id), ledger.Command{Cancel: &ledger.Cancel{ID: id}})
	if err == nil && result.Status == ledger.StatusNotFound {
		err = merry.Prependf(mill.ErrNotFound, "job %q", id)
	}

	if err != nil {
		httpd.WriteError(ctx, err)

		return
	}

	httpd.WriteJSON(ctx, fasthttp.StatusOK, AcceptedReply{ID: id})
}

func (e *Entry) proposeJob(home string, command ledger.Command) (ledger.Result, error) {
	ctx, cancel := context.WithTimeout(e.ctx, jobTimeout)
	defer cancel()

	return e.ledgers.Propose(ctx, home, command)
}

// jobHome returns the data centre that places a team's jobs: the team's declared home, or else this
// entry's data centre.
func (e *Entry) jobHome(team string) string {
	if declared, ok := e.control.View().Declarations.FindTeam(team); ok && declared.Home != "" {
		return declared.Home
	}

	return e.vm.DataCentre()
}

// jobID derives the id from the idempotency key, so that a resubmission refers to the same job.
func jobID(home, team, key string) string {
	sum := sha256.Sum256([]byte(team + "\x00" + key))

	return home + "." + hex.EncodeToString(sum[:jobIDBytes])
}

// homeFromID returns the data centre in a job's id, or "" if there is none.
func homeFromID(id string) string {
	at := strings.LastIndexByte(id, '.')
	if at < 0 {
		return ""
	}

	return id[:at]
}
