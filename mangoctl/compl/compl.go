package compl

import (
	"fmt"

	"github.com/pkg/errors"

	"mangolug.org/mangoctl/shell"
	"mangolug.org/mangoctl/stream"
)

// scripts maps each shell to its completion script. The scripts run the program with GO_FLAGS_COMPLETION set, which makes go-flags list the completions.
var scripts = map[string]string{
	"bash": `_mangoctl() {
	local args=("${COMP_WORDS[@]:1:$COMP_CWORD}")
	local IFS=$'\n'
	COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${args[@]}"))
}
complete -o default -F _mangoctl mangoctl
`,
	"zsh": `#compdef mangoctl
_mangoctl() {
	local -a found
	found=("${(@f)$(GO_FLAGS_COMPLETION=1 "${words[1]}" "${(@)words[2,$CURRENT]}")}")
	compadd -a found || _files
}
compdef _mangoctl mangoctl
`,
	"fish": `function __mangoctl_complete
	set -l args (commandline -opc) (commandline -ct)
	GO_FLAGS_COMPLETION=1 command $args[1] $args[2..-1]
end
complete -c mangoctl -a '(__mangoctl_complete)'
`,
}

// Options are the flags, arguments and dependencies of the command.
type Options struct {
	Streams *stream.Streams `no-flag:"yes"`
	Args    struct {
		Shell string `positional-arg-name:"SHELL" description:"bash, zsh or fish"`
	} `positional-args:"yes" required:"yes"`
}

// Execute runs the command.
func (o *Options) Execute([]string) error { return completionRun(o) }

// NewCommand returns the command.
func NewCommand(f *shell.Factory) *shell.Command {
	return &shell.Command{
		Name:  "completion",
		Short: "Write a completion script for bash, zsh or fish",
		Long:  "Write a script that lets a shell complete commands and flags.",
		Examples: `source <(mangoctl completion bash)
mangoctl completion fish > ~/.config/fish/completions/mangoctl.fish`,
		Action: &Options{Streams: f.Streams},
	}
}

func completionRun(o *Options) error {
	script, ok := scripts[o.Args.Shell]
	if !ok {
		return shell.Exitf(shell.ExitUsage, "shell %q is not known: write bash, zsh or fish", o.Args.Shell)
	}
	_, err := fmt.Fprint(o.Streams.Out, script)
	return errors.Wrap(err, "write script")
}
