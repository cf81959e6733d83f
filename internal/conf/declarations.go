package conf

import (
	"path/filepath"
	"slices"

	"github.com/ansel1/merry/v2"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// LoadDeclarations merges all JSON files of a directory into one set of declarations.
// At most one of the files may select a preset.
func LoadDeclarations(folder string) (*mill.Declarations, error) {
	paths, err := filepath.Glob(filepath.Join(folder, "*.json"))
	if err != nil {
		return nil, merry.Prependf(mill.ErrInvalid, "%s: %v", folder, err)
	}

	if len(paths) == 0 {
		return nil, merry.Prependf(mill.ErrInvalid, "%s: want a directory with declarations in *.json", folder)
	}

	slices.Sort(paths)

	merged := &mill.Declarations{}

	for _, path := range paths {
		if err := addDeclarations(merged, path); err != nil {
			return nil, err
		}
	}

	if err := merged.Validate(); err != nil {
		return nil, merry.Prependf(err, "%s", folder)
	}

	return merged, nil
}

func addDeclarations(merged *mill.Declarations, path string) error {
	var part mill.Declarations

	if err := ReadJSON(path, &part); err != nil {
		return err
	}

	if part.Preset != "" && merged.Preset != "" {
		return merry.Prependf(mill.ErrInvalid, "%s: preset %q: another file selects preset %q, remove one of them",
			path, part.Preset, merged.Preset)
	}

	if part.Preset != "" {
		merged.Preset = part.Preset
	}

	merged.Services = append(merged.Services, part.Services...)
	merged.Teams = append(merged.Teams, part.Teams...)
	merged.Presets = append(merged.Presets, part.Presets...)

	return nil
}
