package entry

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/cranberrymill/cranberrymill/internal/ctrl"
	"github.com/cranberrymill/cranberrymill/internal/httpd"
	"github.com/cranberrymill/cranberrymill/internal/ledger"
)

const statusTimeout = time.Second

// StatusReply is the state of the system as seen by one entry.
type StatusReply struct {
	VM string `json:"vm"`
	// Confirmed says that the configuration and the ledgers' epochs include every change that the leader
	// of the control log has committed. Otherwise they may be out of date.
	Confirmed bool            `json:"confirmed"`
	Version   uint64          `json:"version"`
	Digest    string          `json:"digest"`
	Preset    string          `json:"preset"`
	Control   []ControlStatus `json:"control"`
	Ledgers   []LedgerStatus  `json:"ledgers"`
	Services  []ServiceStatus `json:"services"`
	Upstreams int             `json:"upstreams"`
}

// ControlStatus is the state of the control log as reported by one voter.
type ControlStatus struct {
	VM       string   `json:"vm"`
	Leader   string   `json:"leader"`
	Term     uint64   `json:"term"`
	Revision uint64   `json:"revision"`
	Voters   []string `json:"voters"`
	Voting   bool     `json:"voting"`
}

// LedgerStatus is the state of a ledger: its epoch as recorded in the control log, the number of replicas
// that answer, and the active scheduler that they report.
type LedgerStatus struct {
	DataCentre string   `json:"dataCentre"`
	Epoch      uint64   `json:"epoch"`
	Primary    string   `json:"primary"`
	Replicas   []string `json:"replicas"`
	Durable    bool     `json:"durable"`
	Answering  int      `json:"answering"`
	Scheduler  string   `json:"scheduler"`
}

// ServiceStatus is the load of one service. Slots is the total of the data centre; InUse and Waiting count
// the requests at this entry only.
type ServiceStatus struct {
	Service string `json:"service"`
	Slots   int    `json:"slots"`
	InUse   int    `json:"inUse"`
	Waiting int    `json:"waiting"`
}

func (e *Entry) getStatus(ctx *fasthttp.RequestCtx, _ string) {
	// The entry's view may lag behind, above all while the voter that it follows is being stopped.
	voters, confirmed := e.catchUp()

	callCtx, cancel := context.WithTimeout(e.ctx, statusTimeout)
	defer cancel()

	view := e.control.View()
	reply := StatusReply{
		VM:        e.vm.Name,
		Confirmed: confirmed,
		Version:   view.Version,
		Digest:    view.Digest,
		Preset:    view.Declarations.Preset,
		Control:   controlStatuses(voters),
		Services:  e.serviceStatuses(),
		Upstreams: len(e.table.list(time.Now())),
	}

	for _, dataCentre := range e.settings.ClusterMap().DataCentres {
		reply.Ledgers = append(reply.Ledgers, e.ledgerStatus(callCtx, dataCentre.Name, view))
	}

	httpd.WriteJSON(ctx, fasthttp.StatusOK, reply)
}

// catchUp waits for the newest view, for up to statusTimeout.
func (e *Entry) catchUp() (voters []ctrl.StatusReply, confirmed bool) {
	ctx, cancel := context.WithTimeout(e.ctx, statusTimeout)
	defer cancel()

	return e.control.CatchUp(ctx)
}

func controlStatuses(replies []ctrl.StatusReply) []ControlStatus {
	statuses := make([]ControlStatus, 0, len(replies))

	for i := range replies {
		statuses = append(statuses, ControlStatus{
			VM:       replies[i].VM,
			Leader:   replies[i].Leader,
			Term:     replies[i].Term,
			Revision: replies[i].Revision,
			Voters:   replies[i].Voters,
			Voting:   replies[i].Voting,
		})
	}

	return statuses
}

func (e *Entry) ledgerStatus(ctx context.Context, dataCentre string, view *ctrl.View) LedgerStatus {
	epoch := view.Epoch(dataCentre)
	status := LedgerStatus{
		DataCentre: dataCentre,
		Epoch:      epoch.Number,
		Primary:    epoch.Primary.VM,
		Durable:    epoch.Durable(),
	}

	for i := range epoch.Replicas {
		status.Replicas = append(status.Replicas, epoch.Replicas[i].VM)
	}

	for _, reply := range e.ledgers.Status(ctx, dataCentre) {
		status.addReply(&reply)
	}

	return status
}

func (s *LedgerStatus) addReply(reply *ledger.StatusReply) {
	s.Answering++

	if reply.Leading {
		s.Scheduler = reply.Scheduler
	}
}

func (e *Entry) serviceStatuses() []ServiceStatus {
	statuses := []ServiceStatus{}

	for service, slots := range e.table.slotsByService() {
		pool, ok := e.table.pool(service)
		if !ok {
			continue
		}

		inUse, waiting := pool.usage()
		statuses = append(statuses, ServiceStatus{Service: service, Slots: slots, InUse: inUse, Waiting: waiting})
	}

	return statuses
}
