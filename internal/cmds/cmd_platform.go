package cmds

import (
	"github.com/alecthomas/kingpin/v2"

	"github.com/cranberrymill/cranberrymill/platform"
)

func cmdPlatformEntry() command {
	return command{
		name: "platform entry",
		help: "Run the entry of this VM on the users' platform, with the platform's settings file.",
		setup: func(*kingpin.CmdClause) action {
			return platform.RunEntry
		},
	}
}

func cmdPlatformStore() command {
	return command{
		name: "platform store",
		help: "Run the store and scheduler of this VM on the users' platform.",
		setup: func(*kingpin.CmdClause) action {
			return platform.RunStore
		},
	}
}
