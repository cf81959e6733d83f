package cmds

// table lists every subcommand in the order of the help.
func table() []command {
	return []command{
		cmdRun(),
		cmdEntry(),
		cmdStore(),
		cmdStoreInit(),
		cmdSched(),
		cmdPlatformEntry(),
		cmdPlatformStore(),
		cmdPlatformCheck(),
		cmdCheck(),
		cmdApply(),
		cmdPresetShow(),
		cmdPresetSwitch(),
		cmdJobSubmit(),
		cmdJobShow(),
		cmdJobList(),
		cmdJobCancel(),
		cmdJobExplain(),
		cmdUpstreams(),
		cmdWorkers(),
		cmdTenants(),
		cmdStatus(),
		cmdAudit(),
		cmdVersion(),
	}
}

// groups returns the help of each group of subcommands.
func groups() map[string]string {
	return map[string]string{
		"preset":   "Show or switch the preset in force.",
		"job":      "Submit, inspect and cancel jobs.",
		"platform": "Run a process on the users' platform, or check a setup of it.",
		"store":    "Run the store of this VM, or create the control log on it.",
	}
}
