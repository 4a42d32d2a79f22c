"""Subcommands for operators: the configuration and the state of the nodes."""

import contextlib
import getpass

import aiohttp
import msgspec

from chiveridge_client import (
    changes,
    commands,
    diffs,
    errors,
    exits,
    platforms,
    publications,
    readers,
    statuses,
    tables,
)
from chiveridge_kernel import configurations, explanations, records

MAX_LISTED = 20
POLL_SECONDS = 0.1


class PublishReport(msgspec.Struct, frozen=True, kw_only=True):
    """What ``publish`` tells: the verdict, and whether the change is in force on live nodes."""

    change_id: str
    offset: int
    verdict: records.Verdict
    message: str
    lost_replies: int
    warnings: list[str]
    in_force: bool | None = None


class ListedObject(msgspec.Struct, frozen=True, kw_only=True):
    """One object of the configuration and its revision."""

    kind: records.ObjectKind
    name: str
    revision: int
    value: msgspec.Struct


@commands.command("publish", "FILE", minimum=1, maximum=1)
async def publish(context: commands.Context) -> exits.ExitCode:
    """Publish the objects of an INI file as one change; --wait until it is in force."""
    writes = changes.parse(commands.read_text(context.arguments[0]))
    actor = context.settings.actor or getpass.getuser()
    async with aiohttp.ClientSession() as session:
        publisher = publications.Publisher(
            platforms.Log(context.settings.log_url, session),
            rng=context.rng,
            clock=context.clock,
            stream=context.settings.stream,
        )
        found = await publisher.publish(
            writes, actor, context.options.comment, context.options.change_id
        )
        in_force = None
        if context.options.wait is not None and found.verdict is records.Verdict.ACCEPTED:
            in_force = await _wait_in_force(context, session, found.offset)
    report = PublishReport(
        change_id=found.change_id,
        offset=found.offset,
        verdict=found.verdict,
        message=found.message,
        lost_replies=found.lost_replies,
        warnings=diffs.warnings(writes, publisher.configuration),
        in_force=in_force,
    )
    commands.show(context, report, _publish_text(report))
    if in_force is False:
        return exits.ExitCode.NOT_IN_FORCE
    return exits.exit_codes_by_verdict[found.verdict]


@commands.command("validate", "FILE", minimum=1, maximum=1)
async def validate(context: commands.Context) -> exits.ExitCode:
    """Check an INI file of configuration objects without publishing it."""
    writes = changes.parse(commands.read_text(context.arguments[0]))
    rows = [[_action(write), write.kind.value, write.name] for write in writes]
    commands.show(context, writes, tables.render(["ACTION", "KIND", "NAME"], rows))
    return exits.ExitCode.DONE


@commands.command("diff", "FILE", minimum=1, maximum=1)
async def diff(context: commands.Context) -> exits.ExitCode:
    """Print what a file would change in the configuration now in force."""
    writes = changes.parse(commands.read_text(context.arguments[0]))
    configuration = await _read_configuration(context)
    found = diffs.differences(writes, configuration)
    rows = [
        [item.effect.value, item.kind.value, item.name, item.field, _text(item.before)]
        + [_text(item.after)]
        for item in found
    ]
    titles = ["EFFECT", "KIND", "NAME", "FIELD", "NOW", "THEN"]
    lines = [tables.render(titles, rows), *_warning_lines(diffs.warnings(writes, configuration))]
    commands.show(context, found, "\n".join(lines))
    return exits.ExitCode.DONE


@commands.command("list", "[team|target|rule]", minimum=0, maximum=1)
async def list_objects(context: commands.Context) -> exits.ExitCode:
    """Print the objects of the configuration, of one kind or of all."""
    kinds = [_kind(word) for word in context.arguments] or list(records.ObjectKind)
    found = _listed(await _read_configuration(context), kinds)
    rows = [[item.kind.value, item.name, item.revision, _fields(item.value)] for item in found]
    commands.show(context, found, tables.render(["KIND", "NAME", "REVISION", "FIELDS"], rows))
    return exits.ExitCode.DONE


@commands.command("explain", "team|target|rule NAME", minimum=2, maximum=2)
async def explain(context: commands.Context) -> exits.ExitCode:
    """Print one object with the rules, teams and targets that it is linked to."""
    kind, name = _kind(context.arguments[0]), context.arguments[1]
    configuration = await _read_configuration(context)
    if diffs.object_of(configuration, kind, name) is None:
        raise errors.InvalidInputError([f"there is no {kind.value} {name!r}"])
    found = explanations.links(configuration, kind, name)
    rows = [
        ["revision", configuration.revision_of(kind, name)],
        *[[key, _text(value)] for key, value in msgspec.to_builtins(found.value).items()],
        ["matched by rules", _short(found.rules)],
        ["teams that reach it", _short(found.teams)],
        ["targets reached", _short(found.targets)],
    ]
    commands.show(context, found, tables.render([kind.value.upper(), name], rows))
    return exits.ExitCode.DONE


@commands.command("why", "TEAM TARGET", minimum=2, maximum=2)
async def why(context: commands.Context) -> exits.ExitCode:
    """Print through which rule a team reaches a target, or what is missing; 3 when it doesn't."""
    team, target = context.arguments
    found = explanations.explain(await _read_configuration(context), team, target)
    rows = [
        [match.rule, match.teams, _yes(match.matches_team), match.targets]
        + [_yes(match.matches_target)]
        for match in found.rules
    ]
    titles = ["RULE", "TEAMS", "MATCH", "TARGETS", "MATCH"]
    word = "reaches" if found.reaches else "does not reach"
    approval = "approved" if found.is_approved else "not approved"
    lines = [f"{team} {word} {target} as of offset {found.offset}"]
    lines += [f"missing: {item}" for item in found.missing]
    lines += [f"approval: {approval}, owner {found.owner or 'none'}", tables.render(titles, rows)]
    commands.show(context, found, "\n".join(lines))
    return exits.ExitCode.DONE if found.reaches else exits.ExitCode.REFUSED


@commands.command("audit", minimum=0, maximum=0)
async def audit(context: commands.Context) -> exits.ExitCode:
    """Print the changes kept: who, when, what, based on what, and the verdict."""
    found = (await _read_configuration(context)).audit_trail.entries()
    rows = [
        [entry.offset, entry.changed_at, entry.actor, entry.verdict.value, _writes(entry)]
        + [entry.comment, entry.message]
        for entry in found
    ]
    titles = ["OFFSET", "WHEN", "WHO", "VERDICT", "WHAT@BASED ON", "COMMENT", "MESSAGE"]
    commands.show(context, found, tables.render(titles, rows))
    return exits.ExitCode.DONE


@commands.command("status", minimum=0, maximum=0)
async def status(context: commands.Context) -> exits.ExitCode:
    """Print the state of each node, its members and targets; 7 when one can't be reached."""
    async with aiohttp.ClientSession() as session:
        found = await statuses.fetch_all(context.settings.node_urls, session)
    commands.show(context, found, statuses.text_of(found))
    is_complete = all(node.status is not None for node in found)
    return exits.ExitCode.DONE if is_complete else exits.ExitCode.UNREACHABLE


async def _read_configuration(context: commands.Context) -> configurations.Configuration:
    async with aiohttp.ClientSession() as session:
        log = platforms.Log(context.settings.log_url, session)
        reader = readers.Reader(log, context.settings.stream)
        await reader.catch_up()
    return reader.configuration


async def _wait_in_force(
    context: commands.Context, session: aiohttp.ClientSession, offset: int
) -> bool:
    """Wait until every live node has applied an offset; tell whether it has come to that."""
    until = context.clock.elapsed() + context.options.wait
    while True:
        found = await statuses.fetch_all(context.settings.node_urls, session)
        if statuses.is_in_force(found, offset):
            return True
        if context.clock.elapsed() >= until:
            return False
        await context.clock.sleep(min(statuses.POLL_INTERVAL, context.options.wait))


def _publish_text(report: PublishReport) -> str:
    titles = ["CHANGE", "OFFSET", "VERDICT", "LOST REPLIES", "IN FORCE"]
    in_force = "not awaited" if report.in_force is None else _yes(report.in_force)
    row = [report.change_id, report.offset, report.verdict.value, report.lost_replies, in_force]
    lines = [tables.render(titles, [row])]
    if report.message:
        lines.append(report.message)
    return "\n".join([*lines, *_warning_lines(report.warnings)])


def _warning_lines(found: list[str]) -> list[str]:
    return [f"warning: {text}" for text in found]


def _kind(word: str) -> records.ObjectKind:
    with contextlib.suppress(ValueError):
        return records.ObjectKind(word)
    known = ", ".join(kind.value for kind in records.ObjectKind)
    raise errors.InvalidInputError([f"{word!r} is not one of {known}"])


def _listed(
    configuration: configurations.Configuration, kinds: list[records.ObjectKind]
) -> list[ListedObject]:
    tables_by_kind = {
        records.ObjectKind.TEAM: configuration.teams_by_name,
        records.ObjectKind.TARGET: configuration.targets_by_name,
        records.ObjectKind.RULE: configuration.rules_by_name,
    }
    return [
        ListedObject(
            kind=kind, name=name, revision=configuration.revision_of(kind, name), value=value
        )
        for kind in kinds
        for name, value in sorted(tables_by_kind[kind].items())
    ]


def _fields(value: msgspec.Struct) -> str:
    fields = msgspec.to_builtins(value)
    return "; ".join(f"{key} = {_text(item)}" for key, item in fields.items() if key != "name")


def _text(value: object) -> str:
    if value is None:
        return "-"
    if isinstance(value, dict):
        return ", ".join(f"{key}={item}" for key, item in value.items()) or "-"
    if isinstance(value, list):
        return _short(value)
    return str(value) or "-"


def _short(names: list[str]) -> str:
    listed = ", ".join(names[:MAX_LISTED]) or "-"
    more = len(names) - MAX_LISTED
    return f"{listed} and {more} more" if more > 0 else listed


def _writes(entry) -> str:
    parts = [
        f"{'delete ' if write.is_deletion else ''}{write.kind.value} {write.name}@{write.based_on}"
        for write in entry.writes
    ]
    more = entry.write_count - len(entry.writes)
    return ", ".join(parts) + (f" and {more} more" if more > 0 else "")


def _action(write: records.ObjectWrite) -> str:
    return changes.DELETE if write.is_deletion() else "write"


def _yes(value: bool) -> str:
    return "yes" if value else "no"
