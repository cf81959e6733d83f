package jobs

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// sharedSetup returns a setup with queues of one name: each is named by its host, which is also its service's name.
func sharedSetup(version uint64, hosts ...string) *mill.Setup {
	s := &mill.Setup{Version: version}

	for _, host := range hosts {
		s.Services = append(s.Services, mill.Service{Name: host})
		s.Queues = append(s.Queues, mill.Queue{Name: "q", Host: host, Prefix: "/", Service: host, Timeout: 1})
	}

	return s
}

// submitAt submits a job as a leader does that has found the queue of a host.
func submitAt(t *testing.T, s *State, job, host string) {
	t.Helper()

	queue, ok := s.SetupIndex().Route(mill.RouteKey{Host: host, Prefix: "/"})
	assert.Assert(t, ok)

	submit := &Submit{
		Job: job, Queue: "q", Work: mill.Workload{Steps: []mill.Step{{Count: 1}}}, Route: NewSelectedRoute(s.SetupIndex(), queue),
	}
	assert.Equal(t, s.Apply(&Command{Submit: submit}), ResultApplied)
}

// serviceOf returns the service that a job runs on, also after a snapshot.
func serviceOf(t *testing.T, s *State, id string) string {
	t.Helper()

	data, err := s.Save()
	assert.NilError(t, err)

	loaded := NewState()
	assert.NilError(t, loaded.Load(data))

	job, _ := s.Job(id)
	again, _ := loaded.Job(id)
	service := job.CurrentQueue(s.SetupIndex()).Service
	assert.Equal(t, again.CurrentQueue(loaded.SetupIndex()).Service, service, "after a snapshot")

	return service
}

// TestJobBelongsToItsRoute guards against jobs that run on the service of another queue of the same name, now or after the
// setup has changed.
func TestJobBelongsToItsRoute(t *testing.T) {
	for name, test := range map[string]struct {
		hosts  []string
		submit string
		later  [][]string
		want   string
	}{
		"first":               {hosts: []string{"a", "b"}, submit: "a", want: "a"},
		"second":              {hosts: []string{"a", "b"}, submit: "b", want: "b"},
		"order changes":       {hosts: []string{"a", "b"}, submit: "a", later: [][]string{{"b", "a"}}, want: "a"},
		"first is removed":    {hosts: []string{"a", "b"}, submit: "a", later: [][]string{{"b"}}, want: "a"},
		"second is removed":   {hosts: []string{"a", "b"}, submit: "b", later: [][]string{{"a"}}, want: "b"},
		"one is added before": {hosts: []string{"a"}, submit: "a", later: [][]string{{"b", "a"}}, want: "a"},
		"one replaces it":     {hosts: []string{"a"}, submit: "a", later: [][]string{{"a", "b"}, {"b"}}, want: "a"},
		"it moves":            {hosts: []string{"a"}, submit: "a", later: [][]string{{"b"}}, want: "b"},
	} {
		t.Run(name, func(t *testing.T) {
			s := NewState()
			s.Apply(&Command{Setup: sharedSetup(1, test.hosts...)})
			submitAt(t, s, "j", test.submit)

			for i, hosts := range test.later {
				s.Apply(&Command{Setup: sharedSetup(uint64(i)+2, hosts...)})
			}

			assert.Equal(t, serviceOf(t, s, "j"), test.want)
		})
	}
}

// TestSetupChangesBeforeCommit guards against a job that gets another queue of the name because its own is removed, or the
// other one added, between the look-up and the commit of its submission.
func TestSetupChangesBeforeCommit(t *testing.T) {
	for _, test := range []struct{ before, after []string }{
		{[]string{"a", "b"}, []string{"a"}}, {[]string{"b"}, []string{"a", "b"}},
	} {
		s := NewState()
		s.Apply(&Command{Setup: sharedSetup(1, test.before...)})

		queue, _ := s.SetupIndex().Route(mill.RouteKey{Host: "b", Prefix: "/"})
		submit := &Submit{Job: "j", Queue: "q", Route: NewSelectedRoute(s.SetupIndex(), queue)}

		s.Apply(&Command{Setup: sharedSetup(2, test.after...)})
		assert.Equal(t, s.Apply(&Command{Submit: submit}), ResultApplied)
		assert.Equal(t, serviceOf(t, s, "j"), "b")
	}
}

// TestEntryOfEarlierBuildTakesTheFirst expects submissions without a route to mean the first queue of the name, as it does
// for the builds that have logged them.
func TestEntryOfEarlierBuildTakesTheFirst(t *testing.T) {
	s := NewState()
	s.Apply(&Command{Setup: sharedSetup(1, "a", "b")})
	assert.Equal(t, s.Apply(&Command{Submit: &Submit{Job: "j", Queue: "q"}}), ResultApplied)
	assert.Equal(t, serviceOf(t, s, "j"), "a")
}

// TestPendingCountsTheQueueOnly guards against counts that mix the jobs of queues of one name.
func TestPendingCountsTheQueueOnly(t *testing.T) {
	s := NewState()
	s.Apply(&Command{Setup: sharedSetup(1, "a", "b")})
	submitAt(t, s, "1", "a")
	submitAt(t, s, "2", "b")
	submitAt(t, s, "3", "b")

	for i, want := range []int{1, 2} {
		assert.Equal(t, s.Pending(&s.Setup().Queues[i]), want)
	}
}

// TestAttemptsOfItsRoute lets a task fail again and again, and expects its job to fail by the limit of its own queue, on
// replicas of both builds. Those of the earlier one know only the limit of the first queue of the name.
func TestAttemptsOfItsRoute(t *testing.T) {
	const runs = 6

	for first := range 4 {
		for limit := range 4 {
			setup := sharedSetup(1, "a", "b")
			setup.Queues[0].Name, setup.Queues[0].MaxAttempts = string(rune('0'+first)), first
			setup.Queues[1].Name, setup.Queues[1].MaxAttempts = setup.Queues[0].Name, limit

			s := NewState()
			earlier := &earlierReplica{jobs: make(map[string]*earlierJob)}
			apply := func(command Command) {
				s.Apply(&command)
				earlier.apply(&command)
			}

			apply(Command{Setup: setup})
			apply(Command{Submit: &Submit{
				Job: "j", Queue: setup.Queues[0].Name, Work: mill.Workload{Steps: []mill.Step{{Count: 1}}},
				Route: NewSelectedRoute(s.SetupIndex(), &s.Setup().Queues[1]),
			}})

			job, _ := s.Job("j")
			id := mill.StepID{Job: "j"}.Task(0)
			failed := 0

			for run := 1; run <= runs && !job.Finished(); run++ {
				apply(Command{Place: &Place{Task: id, Run: run, Worker: "w"}})

				_, task := job.Task(id)
				finished := &Finish{Task: id, Run: run, Cause: mill.FinishFailed}
				NewTaskRun(job, id, task).Amend(finished)
				apply(Command{Finish: finished})

				failed++

				assert.Equal(t, earlier.jobs["j"].outcome, job.Outcome, "first %d, own %d, run %d", first, limit, run)
			}

			want := limit
			if limit == 0 {
				want = runs
			}

			assert.Equal(t, failed, want, "first %d, own %d", first, limit)
		}
	}
}
