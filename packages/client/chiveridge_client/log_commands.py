"""Subcommands that read the log files of nodes."""

import pathlib
import sys

from chiveridge_client import causes, commands, errors, exits, traces


@commands.command("trace", "ID [FILE ...]", min_arguments=1, max_arguments=1000)
async def trace(context: commands.Context) -> exits.ExitCode:
    """Explain a request from log files, or from standard input."""
    request, *paths = context.arguments
    lines = _read_lines(paths)
    request_trace = traces.trace_request(request, traces.parse_lines(lines))
    if request_trace is None:
        raise errors.InvalidInputError([f"{request}: no log line mentions this request"])
    commands.print_result(context, request_trace, traces.render(request_trace))
    return exits.ExitCode.DONE


@commands.command("causes", "[FILE ...]", min_arguments=0, max_arguments=1000)
async def count_causes(context: commands.Context) -> exits.ExitCode:
    """Count why requests failed or were late, from log files or standard input."""
    counts = causes.count_causes(traces.parse_lines(_read_lines(list(context.arguments))))
    commands.print_result(context, counts, causes.render(counts))
    return exits.ExitCode.DONE


def _read_lines(paths: list[str]) -> list[str]:
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
