"""Subcommands that read the logs of nodes."""

import pathlib
import sys

from chiveridge_client import causes, commands, errors, exits, traces


@commands.command("trace", "ID [FILE ...]", minimum=1, maximum=1000)
async def trace(context: commands.Context) -> exits.ExitCode:
    """Explain a request from log files, or from standard input."""
    request, *paths = context.arguments
    texts = _read(paths)
    found = traces.trace(request, traces.parse(texts))
    if found is None:
        raise errors.InvalidInputError([f"{request}: no line of the logs names this request"])
    commands.show(context, found, traces.render(found))
    return exits.ExitCode.DONE


@commands.command("causes", "[FILE ...]", minimum=0, maximum=1000)
async def count_causes(context: commands.Context) -> exits.ExitCode:
    """Count why requests failed or were late, from log files or standard input."""
    found = causes.count(traces.parse(_read(list(context.arguments))))
    commands.show(context, found, causes.render(found))
    return exits.ExitCode.DONE


def _read(paths: list[str]) -> list[str]:
    if not paths:
        return list(sys.stdin)
    lines: list[str] = []
    for path in paths:
        try:
            text = pathlib.Path(path).read_text(encoding="utf-8", errors="replace")
        except OSError as error:
            raise errors.InvalidInputError([f"{path}: {error.strerror}"]) from error
        lines.extend(text.splitlines())
    return lines
