package plan

import "time"

const (
	// minReportInterval is the interval between the reports of workers that receive orders only
	// in the replies to them, and so the longest delay of a start order.
	minReportInterval = 200 * time.Millisecond
	// maxReportsPerSecond limits the reports of all workers together: at about 35 us each, the
	// leader spends a twentieth of a core on them.
	maxReportsPerSecond = 1500
)

// ReportInterval returns the delay until a worker's next report, given the number of workers. In pools of
// thousands of workers, reports at the minimum interval would overload the leader.
func ReportInterval(workers int) time.Duration {
	return max(minReportInterval, time.Duration(workers)*time.Second/maxReportsPerSecond)
}
