package lead

import (
	"fmt"
	"hash/fnv"
	"strings"
	"time"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// order carries an order to an executor and its answer back, or meets a fault.
func (w *world) order(id string, carryOut func(e *executor, late bool), answer func(answered bool)) {
	e := w.find(id)
	life := e.bornAt
	delay := time.Duration(1+w.choices%15) * time.Millisecond

	switch {
	case w.chance("lost order", w.faults.lostOrder):
		w.after(calledOrderTime, func() { answer(false) })
	case w.chance("late", w.faults.late):
		w.after(calledOrderTime, func() { answer(false) })
		// An order that is carried out late has waited at the worker, and ends with its life.
		w.after(time.Duration(2+w.choices%10)*time.Second, func() {
			if e.up && e.bornAt.Equal(life) {
				carryOut(e, true)
			}
		})
	case w.chance("lost answer", w.faults.lostAnswer):
		w.after(delay, func() { w.reach(e, func() { carryOut(e, false) }) })
		w.after(calledOrderTime, func() { answer(false) })
	default:
		w.after(delay, func() {
			if !e.up || e.cut {
				w.after(calledOrderTime, func() { answer(false) })

				return
			}

			carryOut(e, false)
			w.after(delay, func() { answer(!e.cut) })
		})
	}
}

func (w *world) reach(e *executor, do func()) {
	if e.up && !e.cut {
		do()
	}
}

func (w *world) sendStart(l *leader, start *Start) {
	var reply mill.OrderReply

	w.order(start.To.ID, func(e *executor, late bool) { reply = e.start(&start.Order, late) }, func(answered bool) {
		if !answered {
			reply = mill.OrderReply{}
		}

		l.scheduler.StartAnswered(start, reply, w.now)
	})
}

func (w *world) sendStop(l *leader, stop *Stop) {
	var reply mill.OrderReply

	w.order(stop.To.ID, func(e *executor, _ bool) { reply = e.stop(stop.Run, stop.Fence) }, func(answered bool) {
		if !answered {
			reply = mill.OrderReply{}
		}

		l.scheduler.StopAnswered(stop, reply, w.now)
	})
}

func (w *world) sendPace(l *leader, pace *Pace) {
	var reply mill.OrderReply

	w.order(pace.To.ID, func(e *executor, _ bool) { reply = e.pace(&pace.Order) }, func(answered bool) {
		if !answered {
			reply = mill.OrderReply{}
		}

		l.scheduler.PaceAnswered(pace, reply, w.now)
	})
}

func (w *world) sendRenew(l *leader, renew *Renew) {
	var reply mill.RenewReply

	asked := w.now

	w.order(renew.To.ID, func(e *executor, _ bool) { reply = e.renew(&renew.Order) }, func(answered bool) {
		if !answered {
			reply = mill.RenewReply{}
		}

		l.scheduler.RenewAnswered(renew, &reply, asked, w.now)
	})
}

// sendAsk lets the advisor allow about half of the executors, and always two that hold any gang.
func (w *world) sendAsk(l *leader, ask *Ask) {
	w.asks++
	w.askedFor[ask.Step.Job]++

	if w.chance("advisor silent", w.faults.lostAnswer) {
		w.after(ask.Limit, func() { l.scheduler.Advised(ask, nil, w.now) })

		return
	}

	w.after(worldDecide, func() {
		answer := &mill.Advice{Validity: worldValidity}

		for _, id := range ask.Workers {
			if e := w.find(id); e != nil && w.good(ask.Step, id) {
				answer.Tickets = append(answer.Tickets, mill.Ticket{Worker: id, Text: ticketText(ask.Step, e, w.now)})
			}
		}

		l.scheduler.Advised(ask, answer, w.now)
	})
}

func (w *world) good(step mill.StepID, id string) bool {
	hash := fnv.New32a()
	_, _ = fmt.Fprint(hash, step, id)

	return hash.Sum32()%2 == 0 || strings.HasSuffix(id, "1") || strings.HasSuffix(id, "3")
}
