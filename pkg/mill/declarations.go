package mill

import "github.com/ansel1/merry/v2"

// ServiceDeclaration sets the limits and the home data centre of one service.
type ServiceDeclaration struct {
	Name         string `json:"name"`
	Team         string `json:"team"`
	Home         string `json:"home"`
	Idempotent   bool   `json:"idempotent"`
	RingCapacity int    `json:"ringCapacity"`
}

// TeamDeclaration sets the quota of one team.
type TeamDeclaration struct {
	Name  string    `json:"name"`
	Home  string    `json:"home"`
	Quota Resources `json:"quota"`
}

// Preset names a router and a placer, the policies that are in force together.
type Preset struct {
	Name   string `json:"name"`
	Router string `json:"router"`
	Placer string `json:"placer"`
}

// Declarations is the complete configuration that operators keep under version control.
type Declarations struct {
	Services []ServiceDeclaration `json:"services"`
	Teams    []TeamDeclaration    `json:"teams"`
	Presets  []Preset             `json:"presets"`
	Preset   string               `json:"preset"`
}

// Validate returns ErrInvalid naming the first entry that is out of range.
func (d *Declarations) Validate() error {
	names := make(map[string]bool)

	for i := range d.Services {
		service := &d.Services[i]
		if err := ValidateName("services.name", service.Name); err != nil {
			return err
		}

		if names[service.Name] {
			return merry.Prependf(ErrInvalid, "services.name %q: declared twice", service.Name)
		}

		names[service.Name] = true
	}

	return d.validatePresets()
}

func (d *Declarations) validatePresets() error {
	for i := range d.Presets {
		if err := d.Presets[i].validate(); err != nil {
			return err
		}
	}

	if d.Preset == "" {
		return nil
	}

	if _, ok := d.FindPreset(d.Preset); !ok {
		return merry.Prependf(ErrInvalid, "preset %q: not among the presets declared", d.Preset)
	}

	return nil
}

// FindPreset returns the preset of that name.
func (d *Declarations) FindPreset(name string) (Preset, bool) {
	for _, preset := range d.Presets {
		if preset.Name == name {
			return preset, true
		}
	}

	return Preset{}, false
}

// FindService returns the declaration of that service.
func (d *Declarations) FindService(name string) (ServiceDeclaration, bool) {
	for _, service := range d.Services {
		if service.Name == name {
			return service, true
		}
	}

	return ServiceDeclaration{}, false
}

// FindTeam returns the declaration of that team.
func (d *Declarations) FindTeam(name string) (TeamDeclaration, bool) {
	for _, team := range d.Teams {
		if team.Name == name {
			return team, true
		}
	}

	return TeamDeclaration{}, false
}

func (p *Preset) validate() error {
	if err := ValidateName("presets.name", p.Name); err != nil {
		return err
	}

	if _, err := Routers.Find(p.Router); err != nil {
		return merry.Prependf(ErrInvalid, "presets.%s.router: %v", p.Name, err)
	}

	if _, err := Placers.Find(p.Placer); err != nil {
		return merry.Prependf(ErrInvalid, "presets.%s.placer: %v", p.Name, err)
	}

	return nil
}
