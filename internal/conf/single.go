package conf

// The addresses of a single-VM system, for trying it out.
const (
	SingleHTTP  = "127.0.0.1:7400"
	singleEntry = "127.0.0.1:7401"
	singleStore = "127.0.0.1:7402"
	singleSched = "127.0.0.1:7403"
)

// SingleVM returns the settings of a single-VM system.
func SingleVM() *Settings {
	settings := Default()
	settings.VM = "vm1"
	settings.cluster = &Cluster{DataCentres: []DataCentre{{
		Name:   "local",
		Region: "local",
		VMs: []VM{{
			Name:    "vm1",
			HTTP:    SingleHTTP,
			Entry:   singleEntry,
			Store:   singleStore,
			Sched:   singleSched,
			Voter:   true,
			Durable: true,
		}},
	}}}

	return settings
}
