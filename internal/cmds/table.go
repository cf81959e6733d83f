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
		cmdStatus(),
		cmdAudit(),
		cmdVersion(),
	}
}

// groups holds the help of the first words that have subcommands.
func groups() map[string]string {
	return map[string]string{
		"preset":   "Show or switch the preset in force.",
		"job":      "Submit and follow jobs.",
		"platform": "Run a process on the users' platform.",
		"store":    "Run the store of this VM, or begin the control log on it.",
	}
}
