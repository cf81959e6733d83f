package stand

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"os"
)

// RequestRecord is a caller's record of one request.
type RequestRecord struct {
	ID      string `json:"id"`
	Keyed   bool   `json:"keyed"`
	Outcome string `json:"outcome"`
	Status  int    `json:"status"`
	Micros  int64  `json:"micros"`
	Tries   int    `json:"tries"`
}

// RunRecord is the upstreams' count of the runs of one request.
type RunRecord struct {
	ID   string `json:"id"`
	Runs int    `json:"runs"`
}

// SlotRecord is an upstream's record of the use of its slots.
type SlotRecord struct {
	Upstream string `json:"upstream"`
	Slots    int    `json:"slots"`
	Peak     int    `json:"peak"`
	Served   int    `json:"served"`
}

// AttemptRecord is a worker's record of one attempt at a task.
type AttemptRecord struct {
	Worker     string `json:"worker"`
	Job        string `json:"job"`
	Index      int    `json:"index"`
	Attempt    int    `json:"attempt"`
	StartMicro int64  `json:"startMicro"`
	EndMicro   int64  `json:"endMicro"`
	State      string `json:"state"`
}

// writeRecords writes the records to a file as JSON, one a line.
func writeRecords[T any](path string, records []T) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}

	writer := bufio.NewWriter(file)
	encoder := json.NewEncoder(writer)

	for i := range records {
		if err := encoder.Encode(&records[i]); err != nil {
			return errors.Join(err, file.Close())
		}
	}

	return errors.Join(writer.Flush(), file.Close())
}

// readRecords reads a file that writeRecords has written.
func readRecords[T any](path string) ([]T, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}

	defer func() { _ = file.Close() }()

	var records []T

	decoder := json.NewDecoder(file)

	for {
		var record T

		err := decoder.Decode(&record)
		if errors.Is(err, io.EOF) {
			return records, nil
		}

		if err != nil {
			return nil, err
		}

		records = append(records, record)
	}
}
