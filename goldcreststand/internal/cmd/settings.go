package cmd

import (
	_ "embed"

	"goldcreststand.example/lib/cli"
	"goldcreststand.example/lib/conf"
	"goldcreststand.example/schema"
	"goldcreststand.example/schema/config"
)

//go:embed defaults.toml
var defaults []byte

// loadSettings reads the settings file. Invalid settings end the program with cli.ExitUsage.
func loadSettings(file string) (*config.Settings, error) {
	l, err := conf.NewLoader(schema.Settings, defaults)
	if err != nil {
		return nil, err
	}
	s := new(config.Settings)
	if err := l.LoadFile(file, s); err != nil {
		return nil, cli.Exit(cli.ExitUsage, err)
	}
	return s, nil
}
