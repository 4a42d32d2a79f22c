"""Subcommands for operators: the configuration and the state of the nodes."""

import contextlib
import getpass

import aiohttp
import msgspec

from chiveridge_client import (
    changes,
    checks,
    commands,
    diffs,
    errors,
    exits,
    platform_logs,
    publications,
    readers,
    statuses,
    tables,
)
from chiveridge_kernel import configurations, explanations, records

MAX_LISTED = 20
POLL_SECONDS = 0.1


class PublishReport(msgspec.Struct, frozen=True, kw_only=True):
    """Output of ``publish``: the verdict, and whether the change is in force on all live nodes."""

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


@commands.command("publish", "FILE", min_arguments=1, max_arguments=1)
async def publish(context: commands.Context) -> exits.ExitCode:
    """Publish the objects of an INI file as one change; with --wait, wait until it is in force."""
    writes = changes.parse(commands.read_text(context.arguments[0]))
    actor = context.settings.actor or getpass.getuser()
    async with aiohttp.ClientSession() as session:
        publisher = publications.Publisher(
            platform_logs.LogClient(context.settings.log_url, session),
            rng=context.rng,
            clock=context.clock,
            stream=context.settings.stream,
        )
        publication = await publisher.publish(
            writes, actor, context.options.comment, context.options.change_id
        )
        in_force = None
        if context.options.wait is not None and publication.verdict is records.Verdict.ACCEPTED:
            in_force = await _wait_until_in_force(context, session, publication.offset)
    report = PublishReport(
        change_id=publication.change_id,
        offset=publication.offset,
        verdict=publication.verdict,
        message=publication.message,
        lost_replies=publication.lost_replies,
        warnings=diffs.warnings(writes, publisher.configuration),
        in_force=in_force,
    )
    commands.print_result(context, report, _report_text(report))
    if in_force is False:
        return exits.ExitCode.NOT_IN_FORCE
    return exits.exit_codes_by_verdict[publication.verdict]


@commands.command("validate", "FILE", min_arguments=1, max_arguments=1)
async def validate(context: commands.Context) -> exits.ExitCode:
    """Check an INI file of configuration objects without publishing it."""
    writes = changes.parse(commands.read_text(context.arguments[0]))
    rows = [[_action_name(write), write.kind.value, write.name] for write in writes]
    commands.print_result(context, writes, tables.render(["ACTION", "KIND", "NAME"], rows))
    return exits.ExitCode.DONE


@commands.command("diff", "FILE", min_arguments=1, max_arguments=1)
async def diff(context: commands.Context) -> exits.ExitCode:
    """Print what a file would change in the configuration now in force."""
    writes = changes.parse(commands.read_text(context.arguments[0]))
    configuration = await _read_configuration(context)
    differences = diffs.differences(writes, configuration)
    warnings = _warning_lines(diffs.warnings(writes, configuration))
    lines = [_differences_text(differences), *warnings]
    commands.print_result(context, differences, "\n".join(lines))
    return exits.ExitCode.DONE


@commands.command("check", "FILE", min_arguments=1, max_arguments=1)
async def check(context: commands.Context) -> exits.ExitCode:
    """Check a file against the configuration in force; exits with 3 if entries make no sense."""
    writes = changes.parse(commands.read_text(context.arguments[0]))
    configuration = await _read_configuration(context)
    report = checks.Report(
        offset=configuration.offset,
        findings=checks.check(writes, configuration),
        differences=diffs.differences(writes, configuration),
    )
    rows = [
        [item.finding.value, item.kind.value, item.name, item.message] for item in report.findings
    ]
    lines = [
        tables.render(["FINDING", "KIND", "NAME", "WHY"], rows) if rows else "nothing found",
        f"differences from the configuration in force as of offset {report.offset}:",
        _differences_text(report.differences),
    ]
    commands.print_result(context, report, "\n".join(lines))
    return exits.ExitCode.REFUSED if report.findings else exits.ExitCode.DONE


@commands.command("list", "[team|target|rule]", min_arguments=0, max_arguments=1)
async def list_objects(context: commands.Context) -> exits.ExitCode:
    """Print the objects of the configuration, of one kind or of all."""
    kinds = [_parse_kind(word) for word in context.arguments] or list(records.ObjectKind)
    listed_objects = _objects_of_kinds(await _read_configuration(context), kinds)
    rows = [
        [item.kind.value, item.name, item.revision, _fields_text(item.value)]
        for item in listed_objects
    ]
    commands.print_result(
        context, listed_objects, tables.render(["KIND", "NAME", "REVISION", "FIELDS"], rows)
    )
    return exits.ExitCode.DONE


@commands.command("explain", "team|target|rule NAME", min_arguments=2, max_arguments=2)
async def explain(context: commands.Context) -> exits.ExitCode:
    """Print one object with the rules, teams and targets that it is linked to."""
    kind, name = _parse_kind(context.arguments[0]), context.arguments[1]
    configuration = await _read_configuration(context)
    if diffs.find_object(configuration, kind, name) is None:
        raise errors.InvalidInputError([f"there is no {kind.value} {name!r}"])
    links = explanations.links(configuration, kind, name)
    rows = [
        ["revision", configuration.revision_of(kind, name)],
        *[[key, _value_text(value)] for key, value in msgspec.to_builtins(links.value).items()],
        ["matched by rules", _shorten_names(links.rules)],
        ["teams that reach it", _shorten_names(links.teams)],
        ["targets reached", _shorten_names(links.targets)],
    ]
    commands.print_result(context, links, tables.render([kind.value.upper(), name], rows))
    return exits.ExitCode.DONE


@commands.command("why", "TEAM TARGET", min_arguments=2, max_arguments=2)
async def why(context: commands.Context) -> exits.ExitCode:
    """Print the rule by which a team reaches a target, or what is missing (then exits with 3)."""
    team, target = context.arguments
    explanation = explanations.explain(await _read_configuration(context), team, target)
    rows = [
        [match.rule, match.teams, _yes_or_no(match.matches_team), match.targets]
        + [_yes_or_no(match.matches_target)]
        for match in explanation.rules
    ]
    titles = ["RULE", "TEAMS", "MATCH", "TARGETS", "MATCH"]
    word = "reaches" if explanation.reaches else "does not reach"
    approval = "approved" if explanation.is_approved else "not approved"
    lines = [f"{team} {word} {target} as of offset {explanation.offset}"]
    lines += [f"missing: {item}" for item in explanation.missing]
    lines += [
        f"approval: {approval}, owner {explanation.owner or 'none'}",
        tables.render(titles, rows),
    ]
    commands.print_result(context, explanation, "\n".join(lines))
    return exits.ExitCode.DONE if explanation.reaches else exits.ExitCode.REFUSED


@commands.command("audit", min_arguments=0, max_arguments=0)
async def audit(context: commands.Context) -> exits.ExitCode:
    """Print the retained changes: time, actor, verdict, writes and their base revisions."""
    entries = (await _read_configuration(context)).audit_trail.entries()
    rows = [
        [entry.offset, entry.changed_at, entry.actor, entry.verdict.value, _writes_text(entry)]
        + [entry.comment, entry.message]
        for entry in entries
    ]
    titles = ["OFFSET", "WHEN", "WHO", "VERDICT", "WHAT@BASED ON", "COMMENT", "MESSAGE"]
    commands.print_result(context, entries, tables.render(titles, rows))
    return exits.ExitCode.DONE


@commands.command("status", min_arguments=0, max_arguments=0)
async def status(context: commands.Context) -> exits.ExitCode:
    """Print the state of each node, its members and targets; exits with 7 if one is unreachable."""
    async with aiohttp.ClientSession() as session:
        node_statuses = await statuses.fetch_all(context.settings.node_urls, session)
    commands.print_result(context, node_statuses, statuses.render(node_statuses))
    is_complete = all(node.status is not None for node in node_statuses)
    return exits.ExitCode.DONE if is_complete else exits.ExitCode.UNREACHABLE


async def _read_configuration(context: commands.Context) -> configurations.Configuration:
    async with aiohttp.ClientSession() as session:
        log = platform_logs.LogClient(context.settings.log_url, session)
        reader = readers.ConfigurationReader(log, context.settings.stream)
        await reader.catch_up()
    return reader.configuration


async def _wait_until_in_force(
    context: commands.Context, session: aiohttp.ClientSession, offset: int
) -> bool:
    """Wait until every live node has applied an offset; return whether that happened in time."""
    give_up_at = context.clock.elapsed() + context.options.wait
    while True:
        node_statuses = await statuses.fetch_all(context.settings.node_urls, session)
        if statuses.is_applied_by_all(node_statuses, offset):
            return True
        if context.clock.elapsed() >= give_up_at:
            return False
        await context.clock.sleep(min(statuses.POLL_INTERVAL, context.options.wait))


def _report_text(report: PublishReport) -> str:
    titles = ["CHANGE", "OFFSET", "VERDICT", "LOST REPLIES", "IN FORCE"]
    in_force = "not awaited" if report.in_force is None else _yes_or_no(report.in_force)
    row = [report.change_id, report.offset, report.verdict.value, report.lost_replies, in_force]
    lines = [tables.render(titles, [row])]
    if report.message:
        lines.append(report.message)
    return "\n".join([*lines, *_warning_lines(report.warnings)])


def _differences_text(differences: list[diffs.Difference]) -> str:
    rows = [
        [item.effect.value, item.kind.value, item.name, item.field, _value_text(item.before)]
        + [_value_text(item.after)]
        for item in differences
    ]
    return tables.render(["EFFECT", "KIND", "NAME", "FIELD", "NOW", "THEN"], rows)


def _warning_lines(warnings: list[str]) -> list[str]:
    return [f"warning: {text}" for text in warnings]


def _parse_kind(word: str) -> records.ObjectKind:
    with contextlib.suppress(ValueError):
        return records.ObjectKind(word)
    known = ", ".join(kind.value for kind in records.ObjectKind)
    raise errors.InvalidInputError([f"{word!r} is not one of {known}"])


def _objects_of_kinds(
    configuration: configurations.Configuration, kinds: list[records.ObjectKind]
) -> list[ListedObject]:
    objects_by_kind = {
        records.ObjectKind.TEAM: configuration.teams_by_name,
        records.ObjectKind.TARGET: configuration.targets_by_name,
        records.ObjectKind.RULE: configuration.rules_by_name,
    }
    return [
        ListedObject(
            kind=kind, name=name, revision=configuration.revision_of(kind, name), value=value
        )
        for kind in kinds
        for name, value in sorted(objects_by_kind[kind].items())
    ]


def _fields_text(value: msgspec.Struct) -> str:
    fields = msgspec.to_builtins(value)
    return "; ".join(
        f"{key} = {_value_text(item)}" for key, item in fields.items() if key != "name"
    )


def _value_text(value: object) -> str:
    if value is None:
        return "-"
    if isinstance(value, dict):
        return ", ".join(f"{key}={item}" for key, item in value.items()) or "-"
    if isinstance(value, list):
        return _shorten_names(value)
    return str(value) or "-"


def _shorten_names(names: list[str]) -> str:
    listed = ", ".join(names[:MAX_LISTED]) or "-"
    omitted_count = len(names) - MAX_LISTED
    return f"{listed} and {omitted_count} more" if omitted_count > 0 else listed


def _writes_text(entry) -> str:
    parts = [
        f"{'delete ' if write.is_deletion else ''}{write.kind.value} {write.name}@{write.based_on}"
        for write in entry.writes
    ]
    omitted_count = entry.write_count - len(entry.writes)
    return ", ".join(parts) + (f" and {omitted_count} more" if omitted_count > 0 else "")


def _action_name(write: records.ObjectWrite) -> str:
    return changes.DELETE if write.is_deletion() else "write"


def _yes_or_no(value: bool) -> str:
    return "yes" if value else "no"
