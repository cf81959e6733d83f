package plan

import "time"

const (
	// reportPause is the pause between reports of workers that can be given orders
	// with the answers only: the time that a start waits for at the most.
	reportPause = 200 * time.Millisecond
	// reportsPerSecond bounds the reports of all workers that the leader answers: at some 35 us
	// each it spends a twentieth of a core on them.
	reportsPerSecond = 1500
)

// ReportAgain returns when a worker should report again, by the number of workers.
// It answers pools of thousands, which would take up the leader at the shortest pause.
func ReportAgain(workers int) time.Duration {
	return max(reportPause, time.Duration(workers)*time.Second/reportsPerSecond)
}
