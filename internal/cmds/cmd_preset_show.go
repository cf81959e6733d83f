package cmds

import (
	"context"
	"fmt"

	"github.com/alecthomas/kingpin/v2"
	"github.com/valyala/fasthttp"

	"github.com/cranberrymill/cranberrymill/internal/entry"
)

func cmdPresetShow() command {
	return command{
		name: "preset show",
		help: "Show the preset in force and all declared presets.",
		setup: func(clause *kingpin.CmdClause) action {
			c := newClient(clause)

			return func(context.Context) error {
				var config entry.ConfigReply

				if err := c.call(fasthttp.MethodGet, "/v1/config", nil, &config); err != nil {
					return err
				}

				fmt.Printf("%s is in force at version %d\n", presetOrNone(config.Preset), config.Version)

				for _, preset := range config.Declarations.Presets {
					fmt.Printf("  %s: router %s, placer %s\n", preset.Name, preset.Router, preset.Placer)
				}

				return nil
			}
		},
	}
}

func presetOrNone(name string) string {
	if name == "" {
		return "no preset"
	}

	return name
}
