package conf

import (
	"net"

	"github.com/ansel1/merry/v2"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// Cluster lists the data centres and the VMs that run the system.
type Cluster struct {
	DataCentres []DataCentre `json:"dataCentres"`
}

// DataCentre is one data centre with its VMs.
type DataCentre struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	VMs    []VM   `json:"vms"`
}

// VM is one VM, with the addresses of its roles. Each runs an entry; an empty Store or Sched means that the
// role does not run on it.
type VM struct {
	Name  string `json:"name"`
	HTTP  string `json:"http"`
	Entry string `json:"entry"`
	Store string `json:"store"`
	Sched string `json:"sched"`
	// Voter says that the store votes in the control log, and Durable that it keeps its data on disk.
	Voter   bool `json:"voter"`
	Durable bool `json:"durable"`

	dataCentre string
	region     string
}

// DataCentre returns the name of the VM's data centre.
func (v *VM) DataCentre() string {
	return v.dataCentre
}

// Region returns the name of the VM's region.
func (v *VM) Region() string {
	return v.region
}

// VMs returns all VMs, with their data centres and regions set.
func (c *Cluster) VMs() []VM {
	var all []VM

	for _, dataCentre := range c.DataCentres {
		for _, vm := range dataCentre.VMs {
			vm.dataCentre = dataCentre.Name
			vm.region = dataCentre.Region
			all = append(all, vm)
		}
	}

	return all
}

// In returns the VMs of a data centre.
func (c *Cluster) In(dataCentre string) []VM {
	var found []VM

	for _, vm := range c.VMs() {
		if vm.dataCentre == dataCentre {
			found = append(found, vm)
		}
	}

	return found
}

// Find returns the VM with the given name.
func (c *Cluster) Find(name string) (VM, bool) {
	for _, vm := range c.VMs() {
		if vm.Name == name {
			return vm, true
		}
	}

	return VM{}, false
}

// Names returns the names of all VMs.
func (c *Cluster) Names() []string {
	vms := c.VMs()
	names := make([]string, 0, len(vms))

	for _, vm := range vms {
		names = append(names, vm.Name)
	}

	return names
}

// Stores returns the store addresses of each data centre, which hold the replicas of its ledger.
func (c *Cluster) Stores() map[string][]string {
	stores := make(map[string][]string)

	for _, vm := range c.VMs() {
		if vm.Store != "" {
			stores[vm.dataCentre] = append(stores[vm.dataCentre], vm.Store)
		}
	}

	return stores
}

// Voters returns the addresses of the control log's voters, nearest first: that on the VM
// itself, then those in its data centre, in its region, and elsewhere.
func (c *Cluster) Voters(near VM) []string {
	var own, dataCentre, region, far []string

	for _, vm := range c.VMs() {
		switch {
		case !vm.Voter:
		case vm.Name == near.Name:
			own = append(own, vm.Store)
		case vm.dataCentre == near.dataCentre:
			dataCentre = append(dataCentre, vm.Store)
		case vm.region == near.region:
			region = append(region, vm.Store)
		default:
			far = append(far, vm.Store)
		}
	}

	return append(append(append(own, dataCentre...), region...), far...)
}

// Validate returns mill.ErrInvalid naming the first field that is out of range.
func (c *Cluster) Validate() error {
	if len(c.DataCentres) == 0 {
		return merry.Prepend(mill.ErrInvalid, "dataCentres []: want at least one")
	}

	names := make(map[string]bool)
	voters := 0

	for _, vm := range c.VMs() {
		if err := vm.validate(names); err != nil {
			return err
		}

		if vm.Voter {
			voters++
		}
	}

	if voters != 1 && voters != 3 && voters != 5 {
		return merry.Prependf(mill.ErrInvalid, "voter: %d VMs are voters: want 1, 3 or 5", voters)
	}

	return nil
}

func (v *VM) validate(names map[string]bool) error {
	if err := mill.ValidateName("vms.name", v.Name); err != nil {
		return err
	}

	if err := mill.ValidateName("dataCentres.name", v.dataCentre); err != nil {
		return err
	}

	if names[v.Name] {
		return merry.Prependf(mill.ErrInvalid, "vms.name %q: used twice, give each VM its own name", v.Name)
	}

	names[v.Name] = true

	if v.Voter && (v.Store == "" || !v.Durable) {
		return merry.Prependf(mill.ErrInvalid, "vms.%s.voter true: want a store address and durable true", v.Name)
	}

	return v.validateAddresses()
}

func (v *VM) validateAddresses() error {
	addresses := []struct {
		name, value string
		optional    bool
	}{
		{"http", v.HTTP, false},
		{"entry", v.Entry, false},
		{"store", v.Store, true},
		{"sched", v.Sched, true},
	}

	for _, address := range addresses {
		if address.value == "" && address.optional {
			continue
		}

		if _, _, err := net.SplitHostPort(address.value); err != nil {
			return merry.Prependf(mill.ErrInvalid, "vms.%s.%s %q: want host:port", v.Name, address.name, address.value)
		}
	}

	return nil
}
