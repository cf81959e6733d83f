package conf

import (
	"path/filepath"
	"slices"

	"github.com/ansel1/merry/v2"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// LoadDeclarations reads every JSON file of a directory as a part of one set
// of declarations; a preset may be put in force by one file only.
func LoadDeclarations(folder string) (*mill.Declarations, error) {
	paths, err := filepath.Glob(filepath.Join(folder, "*.json"))
	if err != nil {
		return nil, merry.Prependf(mill.ErrInvalid, "%s: %v", folder, err)
	}

	if len(paths) == 0 {
		return nil, merry.Prependf(mill.ErrInvalid, "%s: want a directory with declarations in *.json", folder)
	}

	slices.Sort(paths)

	whole := &mill.Declarations{}

	for _, path := range paths {
		if err := addDeclarations(whole, path); err != nil {
			return nil, err
		}
	}

	if err := whole.Validate(); err != nil {
		return nil, merry.Prependf(err, "%s", folder)
	}

	return whole, nil
}

func addDeclarations(whole *mill.Declarations, path string) error {
	var part mill.Declarations

	if err := ReadJSON(path, &part); err != nil {
		return err
	}

	if part.Preset != "" && whole.Preset != "" {
		return merry.Prependf(mill.ErrInvalid, "%s: preset %q: another file has put %q in force",
			path, part.Preset, whole.Preset)
	}

	if part.Preset != "" {
		whole.Preset = part.Preset
	}

	whole.Services = append(whole.Services, part.Services...)
	whole.Teams = append(whole.Teams, part.Teams...)
	whole.Presets = append(whole.Presets, part.Presets...)

	return nil
}
