"""Subcommands of the command line, each registered in :data:`commands_by_name`."""

import pathlib
import random
from collections.abc import Awaitable, Callable
from typing import TextIO

import msgspec

from chiveridge_client import (
    clients,
    clocks,
    errors,
    exits,
    keys,
    options,
    settings,
    tables,
)
from chiveridge_kernel import identifiers, messages


class Context(msgspec.Struct, kw_only=True):
    """Inputs of a subcommand: arguments, options, settings, output stream, clock and RNG."""

    arguments: list[str]
    options: options.Options
    settings: settings.Settings
    output: TextIO
    clock: clocks.Clock
    rng: random.Random


class Command(msgspec.Struct, frozen=True, kw_only=True):
    """A subcommand: its handler, its arguments and whether it needs a credential."""

    handler: Callable[[Context], Awaitable[exits.ExitCode]]
    usage: str
    argument_counts: range
    needs_credential: bool


commands_by_name: dict[str, Command] = {}


def command(
    name: str,
    usage: str = "",
    *,
    min_arguments: int,
    max_arguments: int,
    needs_credential: bool = False,
):
    """Return a decorator that registers a handler as the subcommand ``name``.

    The subcommand takes ``min_arguments`` to ``max_arguments`` arguments. The first line of the
    handler's docstring is its text on the help page.
    """

    def register(handler):
        commands_by_name[name] = Command(
            handler=handler,
            usage=f"{name} {usage}".rstrip(),
            argument_counts=range(min_arguments, max_arguments + 1),
            needs_credential=needs_credential,
        )
        return handler

    return register


@command("submit", "[FILE]", min_arguments=0, max_arguments=1, needs_credential=True)
async def submit(context: Context) -> exits.ExitCode:
    """Submit the tasks of a JSON file, or of ``--task-body``, as one job."""
    parsed_options = context.options
    tasks = _read_tasks(context)
    async with _new_client(context) as client:
        answer = await client.submit(
            tasks,
            selector=parsed_options.selector,
            deadline=parsed_options.deadline,
            idempotent=parsed_options.idempotent,
            wait=parsed_options.wait,
        )
    return _print_answer(context, answer)


@command("job", "ID", min_arguments=1, max_arguments=1, needs_credential=True)
async def job(context: Context) -> exits.ExitCode:
    """Print the answer or the state of a job."""
    submission_id = identifiers.SubmissionId(context.arguments[0])
    wait = context.options.wait or options.NO_WAIT
    async with _new_client(context) as client:
        answer = await client.answer(submission_id, wait=wait)
    return _print_answer(context, answer)


@command("cancel", "ID", min_arguments=1, max_arguments=1, needs_credential=True)
async def cancel(context: Context) -> exits.ExitCode:
    """Cancel a job; exits with 0 once the cancellation is confirmed."""
    submission_id = identifiers.SubmissionId(context.arguments[0])
    async with _new_client(context) as client:
        answer = await client.cancel(submission_id)
    _print_answer(context, answer)
    return exits.ExitCode.DONE


@command("keys new", "TEAM", min_arguments=1, max_arguments=1)
async def new_key(context: Context) -> exits.ExitCode:
    """Print a new secret for a team and its digest for ``key_digests``."""
    key = keys.create(context.arguments[0])
    rows = [["credential", key.credential], ["secret", key.secret], ["digest", key.digest]]
    print_result(context, key, tables.render(["KEY", key.team], rows))
    return exits.ExitCode.DONE


def _new_client(context: Context) -> clients.Client:
    return clients.Client(
        context.settings.node_urls,
        context.settings.credential,
        rng=context.rng,
        clock=context.clock,
        id_batch_size=1,
    )


def _read_tasks(context: Context) -> list[messages.TaskSpec]:
    body = context.options.task_body
    if bool(body) == bool(context.arguments):
        raise errors.InvalidInputError(["submit: give either FILE or --task-body"])
    if not body:
        return _decode_tasks(context.arguments[0], read_text(context.arguments[0]))
    try:
        msgspec.json.decode(body)
    except msgspec.MsgspecError as error:
        raise errors.InvalidInputError([f"task_body: {error}"]) from error
    return [messages.TaskSpec(body=msgspec.Raw(body.encode()))] * context.options.count


def _decode_tasks(path: str, text: str) -> list[messages.TaskSpec]:
    try:
        tasks = msgspec.json.decode(text, type=list[messages.TaskSpec])
    except msgspec.MsgspecError as error:
        raise errors.InvalidInputError([f"{path}: {error}"]) from error
    if not tasks:
        raise errors.InvalidInputError([f"{path}: the list has no tasks"])
    return tasks


def read_text(path: str) -> str:
    """Return the text of a UTF-8 file.

    :raises errors.InvalidInputError: when it can't be read.
    """
    try:
        return pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise errors.InvalidInputError([f"{path}: {error}"]) from error


def _print_answer(context: Context, answer: messages.JobAnswer) -> exits.ExitCode:
    summary = (
        f"{answer.submission_id}  {answer.state.value}  {answer.code.value} {answer.code.name}"
    )
    rows = [
        [task.index, task.outcome.value, task.target, f"{task.run_ms:.1f}", _result_text(task)]
        for task in answer.tasks
    ]
    titles = ["TASK", "OUTCOME", "TARGET", "RUN MS", "RESULT"]
    lines = [f"{summary}  {answer.message}".rstrip()]
    if rows:
        lines.append(tables.render(titles, rows))
    print_result(context, answer, "\n".join(lines))
    return exits.code_of_answer(answer)


def _result_text(task: messages.TaskAnswer) -> str:
    return task.reason or bytes(task.result).decode()


def print_result(context: Context, value: object, text: str) -> None:
    """Print ``value`` as one line of JSON with ``--json``, otherwise ``text``."""
    line = msgspec.json.encode(value).decode() if context.options.json else text
    print(line, file=context.output)
