package conf

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/ansel1/merry/v2"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// Load reads and validates a settings file and the cluster file that it names.
// Every error wraps mill.ErrInvalid and names the field, its value and its range.
func Load(path string) (*Settings, error) {
	settings := Default()

	if err := ReadJSON(path, settings); err != nil {
		return nil, err
	}

	if settings.Cluster == "" {
		return nil, merry.Prependf(mill.ErrInvalid, "%s: cluster \"\": want the path of a cluster file", path)
	}

	if !filepath.IsAbs(settings.Cluster) {
		settings.Cluster = filepath.Join(filepath.Dir(path), settings.Cluster)
	}

	cluster := &Cluster{}
	if err := ReadJSON(settings.Cluster, cluster); err != nil {
		return nil, err
	}

	settings.cluster = cluster

	if err := settings.Validate(); err != nil {
		return nil, merry.Prependf(err, "%s", path)
	}

	return settings, nil
}

// ReadJSON decodes a JSON file into a value and rejects unknown fields.
func ReadJSON(path string, value any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return merry.Prependf(mill.ErrInvalid, "%v", err)
	}

	if err := DecodeJSON(data, value); err != nil {
		return merry.Prependf(err, "%s", path)
	}

	return nil
}

// DecodeJSON decodes JSON into a value and rejects unknown fields.
func DecodeJSON(data []byte, value any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()

	if err := decoder.Decode(value); err != nil {
		return merry.Prepend(mill.ErrInvalid, describeDecodeError(data, err, decoder.InputOffset()))
	}

	if decoder.More() {
		return merry.Prependf(mill.ErrInvalid, "line %d: want only one JSON value", lineNumber(data, decoder.InputOffset()))
	}

	return nil
}

// describeDecodeError converts a decoder error into a message with the line, the field and what is expected.
func describeDecodeError(data []byte, err error, offset int64) string {
	var wrongType *json.UnmarshalTypeError

	if errors.As(err, &wrongType) {
		return fmt.Sprintf("line %d: field %q is a %s: want %s",
			lineNumber(data, wrongType.Offset), wrongType.Field, wrongType.Value, wrongType.Type)
	}

	var syntax *json.SyntaxError

	if errors.As(err, &syntax) {
		return fmt.Sprintf("line %d: %v", lineNumber(data, syntax.Offset), syntax)
	}

	if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		return fmt.Sprintf("line %d: unknown field %s", lineNumber(data, offset), name)
	}

	return err.Error()
}

func lineNumber(data []byte, offset int64) int {
	end := min(max(int(offset), 0), len(data))

	return 1 + bytes.Count(data[:end], []byte("\n"))
}
