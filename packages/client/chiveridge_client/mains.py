"""Entry point of the ``chiveridge`` command."""

import asyncio
import random
import sys
from typing import TextIO

from chiveridge_client import (
    clocks,
    commands,
    errors,
    exits,
    log_commands,
    operator_commands,
    options,
    settings,
)

COMMAND_MODULES = (commands, operator_commands, log_commands)
"""Modules that register subcommands on import."""

EXAMPLES = """\
examples:
  chiveridge submit --task-body '{"run_ms": 50}' --count 8 --credential-file key.txt
  chiveridge submit tasks.json --selector kind=dryer --deadline 5 --json
  chiveridge job ID --wait 10
  chiveridge diff teams.ini
  chiveridge publish teams.ini --log-url http://127.0.0.1:7900 --comment "add lekki" --wait 10
  chiveridge why lekki dryer-1
  chiveridge status --nodes 10.1.0.4:7001,10.1.0.5:7001
  chiveridge keys new ikeja
  chiveridge trace 0123456789abcdef node-1.log node-2.log
"""


def run() -> None:
    """Run the command with the arguments of the process and exit."""
    sys.exit(main(sys.argv[1:], sys.stdout, sys.stderr))


def main(arguments: list[str], output: TextIO, error_output: TextIO) -> exits.ExitCode:
    """Run one command and return its exit code."""
    try:
        parsed_options, words = options.parse(_normalize_flag_names(arguments))
        if parsed_options.help:
            print(help_text(), file=output)
            return exits.ExitCode.DONE
        return asyncio.run(_run_command(parsed_options, words, output))
    except errors.ClientError as error:
        print(error, file=error_output)
        return exits.code_of_error(error)


def help_text() -> str:
    """Return the help page: subcommands, examples and flags."""
    lines = [
        f"  {command.usage:<30} {command.handler.__doc__.splitlines()[0]}"
        for command in commands.commands_by_name.values()
    ]
    usage = "usage: chiveridge COMMAND [ARGUMENTS] [FLAGS]\n\ncommands:"
    return "\n".join([usage, *lines, "", EXAMPLES, "flags:", options.describe_flags()])


async def _run_command(
    parsed_options: options.Options, words: list[str], output: TextIO
) -> exits.ExitCode:
    command, arguments = _find_command(words)
    loaded_settings = settings.load(parsed_options.config, parsed_options.setting_flags)
    if command.needs_credential and not loaded_settings.credential:
        raise errors.InvalidInputError(["credential: missing; set --credential-file"])
    context = commands.Context(
        arguments=arguments,
        options=parsed_options,
        settings=loaded_settings,
        output=output,
        clock=clocks.SystemClock(),
        rng=random.Random(),
    )
    return await command.handler(context)


def _find_command(words: list[str]) -> tuple[commands.Command, list[str]]:
    """Return the subcommand named by the first one or two words, and its arguments."""
    for length in (2, 1):
        command = commands.commands_by_name.get(" ".join(words[:length]))
        if command is None:
            continue
        arguments = words[length:]
        if len(arguments) not in command.argument_counts:
            raise errors.InvalidInputError([f"usage: chiveridge {command.usage}"])
        return command, arguments
    known = ", ".join(commands.commands_by_name)
    raise errors.InvalidInputError([f"usage: chiveridge COMMAND; the commands are {known}"])


def _normalize_flag_names(arguments: list[str]) -> list[str]:
    """Return flags with the names that absl uses: ``--log-url=a-b`` becomes ``--log_url=a-b``."""
    return [_normalize_flag_name(argument) for argument in arguments]


def _normalize_flag_name(argument: str) -> str:
    if not argument.startswith("--") or argument == "--":
        return argument
    name, equals, value = argument[2:].partition("=")
    return f"--{name.replace('-', '_')}{equals}{value}"
