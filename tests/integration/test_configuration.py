"""Configuration under the platform's failures, with real processes."""

import asyncio
import contextlib
import datetime
import io
import random

import aiohttp
import msgspec
import pytest

from chiveridge_client import clients, errors, exits, mains, platform_logs, publications
from chiveridge_kernel import messages, records, results
from chiveridge_load import deployments
from chiveridge_standins import fleet_plans, fleets

DOMAIN = "ikeja"
WAIT_S = 20
POLL_S = 0.05
CONNECTIONS = 2
TASKS = 60
SETTINGS = {
    "platform": {"poll_wait_ms": "300", "request_timeout_ms": "1000", "vms_interval_ms": "100"},
    "targets": {"connections_per_target": str(CONNECTIONS)},
    "snapshots": {"records": "10", "min_interval_ms": "300", "delay_ms_per_node": "50"},
}
QUICK_SUSPICION = {
    "membership": {"heartbeat_ms": "300", "suspect_heartbeats": "2", "dead_heartbeats": "4"}
}
Verdict = records.Verdict


@contextlib.asynccontextmanager
async def running_fleet(team, nodes, *, slots=8, settings=SETTINGS):
    plan = fleet_plans.FleetPlan(
        domains={DOMAIN: fleet_plans.DomainPlan(nodes=nodes, targets=1)},
        slots=slots,
        settings=settings,
        proxied=frozenset({fleets.PLATFORM}),
    )
    async with (
        deployments.ready_fleet(plan, [team]) as fleet,
        aiohttp.ClientSession() as session,
    ):
        yield fleet, session


def publisher(fleet, session):
    return publications.Publisher(
        platform_logs.LogClient(fleet.platform_url, session),
        rng=random.Random(),
        clock=publications.clocks.SystemClock(),
        timeout=datetime.timedelta(seconds=WAIT_S),
    )


def racers(fleet, session, count):
    """Return publishers whose first appends wait for each other, so that all have read before."""
    barrier = asyncio.Barrier(count)
    found = [publisher(fleet, session) for _ in range(count)]
    for racer in found:
        racer._log.append = after_barrier(racer._log.append, barrier)
    return found


def after_barrier(append, barrier):
    has_waited = False

    async def wait_and_append(stream, value):
        nonlocal has_waited
        if not has_waited:
            has_waited = True
            await barrier.wait()
        return await append(stream, value)

    return wait_and_append


def team_file(name, secret="secret"):
    plan = deployments.TeamPlan(name=name, secret=secret)
    return publications.parse_writes(f"[team {name}]\nkey_digests = {plan.key_digest}\n")


async def status_of(session, node):
    async with session.get(f"{node.url}/v1/status") as reply:
        return await reply.json()


async def until(condition):
    """Wait until an asynchronous condition holds; return what it gave."""
    async with asyncio.timeout(WAIT_S):
        while True:
            found = await condition()
            if found:
                return found
            await asyncio.sleep(POLL_S)


async def until_status(session, node, condition):
    async def holds():
        status = await status_of(session, node)
        return status if condition(status) else None

    return await until(holds)


async def until_in_force(fleet, session, offset, names=None):
    for name in names or fleet.nodes_by_name:
        node = fleet.nodes_by_name[name]
        await until_status(session, node, lambda status: status["config_offset"] > offset)


async def issue_code(session, node, credential):
    """Return the result code of a request for a submission id."""
    headers = {"Authorization": f"Bearer {credential}"}
    url = f"{node.url}/v1/submission-ids"
    async with session.post(url, headers=headers, data=b"{}") as reply:
        return results.ResultCode((await reply.json())["code"])


async def run_job(node, credential, count=2, run_ms=10, deadline_s=WAIT_S):
    body = msgspec.Raw(msgspec.json.encode({"run_ms": run_ms}))
    async with clients.Client([node.url], credential) as client:
        return await client.submit(
            [messages.TaskSpec(body=body)] * count, deadline=datetime.timedelta(seconds=deadline_s)
        )


@pytest.mark.promise("configuration_in_force", failures=["operators_race", "lost_reply"])
async def test_races_lost_replies_and_a_slow_log(team, tmp_path):
    async with running_fleet(team, nodes=3) as (fleet, session):
        nodes = list(fleet.nodes_by_name.values())
        found = await asyncio.gather(
            *(
                racer.publish(team_file("lekki", f"s{i}"), f"op{i}")
                for i, racer in enumerate(racers(fleet, session, 6))
            )
        )
        winners = [i for i, publication in enumerate(found) if is_accepted(publication)]
        losers = [publication for publication in found if not is_accepted(publication)]
        assert len(winners) == 1
        assert {loser.verdict for loser in losers} == {Verdict.CONFLICT}
        assert all(f"of op{winners[0]} wrote it" in loser.message for loser in losers)
        await until_in_force(fleet, session, max(publication.offset for publication in found))
        for node in nodes:
            codes = [await issue_code(session, node, f"lekki.s{i}") for i in range(6)]
            accepted = [i for i, code in enumerate(codes) if code is results.ResultCode.ACCEPTED]
            assert accepted == winners

        await fleet.control_log(drop_append_replies=3)
        found = await asyncio.gather(
            *(
                racer.publish(team_file(f"team-{i}"), f"op{i}")
                for i, racer in enumerate(racers(fleet, session, 6))
            )
        )
        assert {publication.verdict for publication in found} == {Verdict.ACCEPTED}
        assert sum(publication.lost_replies for publication in found) == 3

        await fleet.control_log(delay_ms=400)
        slow = await publisher(fleet, session).publish(team_file("slow"), "op")
        await until_in_force(fleet, session, slow.offset)
        await fleet.control_log(delay_ms=0)
        for node in nodes:
            for name in ("team-0", "team-5", "slow"):
                code = await issue_code(session, node, f"{name}.secret")
                assert code is results.ResultCode.ACCEPTED
        await check_commands(fleet, session, tmp_path)


async def check_commands(fleet, session, directory):
    """Check that a publish that was waited for is in force, and that the command explains it."""
    file = directory / "change.ini"
    file.write_text(f"[team awaited]\nkey_digests = {'ab' * 32}\n")
    code, _ = await command(fleet, "publish", str(file), f"--wait={WAIT_S}")
    assert code is exits.ExitCode.DONE
    offsets = [
        (await status_of(session, node))["config_offset"] for node in fleet.nodes_by_name.values()
    ]
    _, text = await command(fleet, "audit", "--json")
    [entry] = [entry for entry in msgspec.json.decode(text) if "awaited" in str(entry)]
    assert min(offsets) > entry[0]
    [target] = fleet.targets_by_name
    code, text = await command(fleet, "why", "awaited", target)
    assert code is exits.ExitCode.REFUSED
    assert f"target {target!r} does not approve team 'awaited'" in text
    code, text = await command(fleet, "status", "--json")
    assert code is exits.ExitCode.DONE
    assert [len(found["status"]["members"]) for found in msgspec.json.decode(text)] == [2, 2, 2]


async def command(fleet, *words):
    """Run the command against a fleet; return its exit code and output."""
    addresses = ",".join(url.removeprefix("http://") for url in fleet.node_urls())
    arguments = [*words, f"--nodes={addresses}", f"--log-url={fleet.platform_url}"]
    output = io.StringIO()
    code = await asyncio.to_thread(mains.main, arguments, output, output)
    return code, output.getvalue()


def is_accepted(publication):
    return publication.verdict is Verdict.ACCEPTED


@pytest.mark.promise(
    "configuration_in_force", failures=["platform_outage", "cut", "two_at_once", "replaced_vm"]
)
async def test_a_domain_cut_from_the_platform_goes_on_and_boots_from_peers(team):
    async with running_fleet(team, nodes=2) as (fleet, session):
        first, second = fleet.nodes_by_name.values()
        published = await publisher(fleet, session).publish(team_file("lekki"), "ada")
        await until_in_force(fleet, session, published.offset)
        before = (await status_of(session, first))["config_offset"]
        await until_listed(fleet, session)
        fleet.proxies_by_name[fleets.PLATFORM].cut()
        for node in (first, second):
            await until_status(session, node, lambda status: status["config_staleness_s"] > 1.5)
            assert (await run_job(node, team.credential)).state is results.JobState.COMPLETE
        during = await publisher(fleet, session).publish(team_file("surulere"), "ada")

        await fleet.kill(second.name)
        alone = await start_with_seeds(fleet, second.name, "127.0.0.1:1")
        await until_status(session, alone, lambda status: not status["ready"])
        code = await issue_code(session, alone, team.credential)
        assert code is results.ResultCode.NOT_READY

        await fleet.kill(second.name)
        seed = f"{first.listening.address}:{first.listening.peer_port}"
        booted = await start_with_seeds(fleet, second.name, seed)
        status = await until_status(session, booted, lambda status: status["ready"])
        assert status["config_offset"] == before
        assert status["config_staleness_s"] is None
        assert "CONFIGURATION_FROM_PEER" in fleet.stderr_tail(booted.name)

        await fleet.proxies_by_name[fleets.PLATFORM].heal()
        await until_in_force(fleet, session, during.offset)
        for node in fleet.nodes_by_name.values():
            code = await issue_code(session, node, "surulere.secret")
            assert code is results.ResultCode.ACCEPTED


@pytest.mark.promise("complete_or_failed", failures=["two_at_once"])
@pytest.mark.parametrize("replaced", ["ikeja-e1", "ikeja-e2"])
async def test_a_node_replaced_in_an_outage_runs_jobs(team, replaced):
    async with running_fleet(team, nodes=2) as (fleet, session):
        await until_listed(fleet, session)
        fleet.proxies_by_name[fleets.PLATFORM].cut()
        [other] = [node for name, node in fleet.nodes_by_name.items() if name != replaced]
        await fleet.kill(replaced)
        seed = f"{other.listening.address}:{other.listening.peer_port}"
        booted = await start_with_seeds(fleet, replaced, seed)
        await until_status(session, booted, lambda status: status["ready"])
        answer = await run_job(booted, team.credential, deadline_s=5)
        assert answer.state is results.JobState.COMPLETE


async def until_listed(fleet, session):
    """Wait until every node has every node in its list of VMs."""
    names = set(fleet.nodes_by_name)
    for node in fleet.nodes_by_name.values():
        await until_status(session, node, lambda status: names <= listed_names(status))


def listed_names(status):
    return {found if isinstance(found, str) else found["name"] for found in status["nodes"]}


async def start_with_seeds(fleet, name, seeds):
    fleet.plan = msgspec.structs.replace(
        fleet.plan, settings={**SETTINGS, "node": {"seeds": seeds}}
    )
    return await fleet.start_node(name)


@pytest.mark.promise("configuration_in_force", failures=["freeze", "kill"])
async def test_records_that_expired_under_a_sleeping_reader(team):
    async with running_fleet(team, nodes=2) as (fleet, session):
        awake, sleeper = fleet.nodes_by_name.values()
        fleet.freeze(sleeper.name)
        operator = publisher(fleet, session)
        for number in range(25):
            last = await operator.publish(team_file(f"team-{number}"), "ada")
        log = platform_logs.LogClient(fleet.platform_url, session)

        async def expired():
            page = await log.read(publications.DEFAULT_STREAM, 0, limit=1000)
            kinds = [msgspec.json.decode(record.value)["type"] for record in page.records]
            if "snapshot" not in kinds:
                return None
            await fleet.control_log(max_records=page.next - 10)
            return page.next

        await until(expired)
        with pytest.raises(errors.OffsetExpiredError):
            await log.read(publications.DEFAULT_STREAM, 0)
        fleet.thaw(sleeper.name)
        await until_in_force(fleet, session, last.offset, [sleeper.name])
        assert "CONFIGURATION_FROM_SNAPSHOT" in fleet.stderr_tail(sleeper.name)
        code = await issue_code(session, sleeper, "team-0.secret")
        assert code is results.ResultCode.ACCEPTED

        await fleet.kill(awake.name)
        booted = await fleet.start_node(awake.name)
        await fleet.wait_ready()
        await until_in_force(fleet, session, last.offset)
        for number in (0, 24):
            code = await issue_code(session, booted, f"team-{number}.secret")
            assert code is results.ResultCode.ACCEPTED
        again = await publisher(fleet, session).publish(team_file("team-0", "new"), "bola")
        assert again.verdict is Verdict.ACCEPTED


@contextlib.asynccontextmanager
async def watched_offsets(fleet, session):
    """Fail at the end when the applied offset of a node ever went back."""
    offsets_by_node = {name: [] for name in fleet.nodes_by_name}

    async def watch(name):
        while True:
            status = await status_of(session, fleet.nodes_by_name[name])
            offsets_by_node[name].append(status["config_offset"])
            await asyncio.sleep(POLL_S)

    watching = [asyncio.create_task(watch(name)) for name in offsets_by_node]
    yield
    assert not any(task.done() for task in watching)
    for task in watching:
        task.cancel()
    for offsets in offsets_by_node.values():
        assert len(set(offsets)) > 1
        assert offsets == sorted(offsets)


async def codes_everywhere(fleet, session, credential):
    """Return the result codes with which the nodes meet a key."""
    nodes = fleet.nodes_by_name.values()
    return {await issue_code(session, node, credential) for node in nodes}


@pytest.mark.promise(
    "configuration_in_force", failures=["silent_connection", "target_death", "paused_lease_holder"]
)
async def test_silent_connections_a_dead_target_and_a_node_paused_past_its_lease(team):
    settings = SETTINGS | QUICK_SUSPICION
    accepted, refused = {results.ResultCode.ACCEPTED}, {results.ResultCode.BAD_CREDENTIALS}
    async with (
        running_fleet(team, nodes=2, settings=settings) as (fleet, session),
        watched_offsets(fleet, session),
    ):
        awake, paused = fleet.nodes_by_name.values()
        operator = publisher(fleet, session)
        await until_listed(fleet, session)
        assert fleet.proxies_by_name[fleets.PLATFORM].counts.open >= len(fleet.nodes_by_name)
        fleet.proxies_by_name[fleets.PLATFORM].go_silent()
        published = await operator.publish(team_file("silent", "first"), "ada")
        await until_in_force(fleet, session, published.offset)
        assert await codes_everywhere(fleet, session, "silent.first") == accepted

        [target] = fleet.targets_by_name
        held = asyncio.create_task(run_job(paused, team.credential, run_ms=60_000, deadline_s=2))
        await until(lambda: has_starts(fleet))
        fleet.freeze(paused.name)
        await until_status(session, awake, lambda status: is_dead(status, paused.name))
        for secret in ("second", "third"):
            await operator.publish(team_file("silent", secret), "bola")
        revocation = publications.parse_writes(f"[target {target}]\nlabels = kind=dryer\n")
        published = await operator.publish(revocation, "owner")
        await until_in_force(fleet, session, published.offset, [awake.name])
        fleet.thaw(paused.name)
        await until_in_force(fleet, session, published.offset)
        assert (await held).state is not results.JobState.COMPLETE
        assert await codes_everywhere(fleet, session, "silent.third") == accepted
        for node in (awake, paused):
            with pytest.raises(errors.RefusedError) as caught:
                await run_job(node, team.credential)
            assert caught.value.code is results.ResultCode.NOT_APPROVED

        approval = f"[target {target}]\nlabels = kind=dryer\napproved_teams = {team.name}\n"
        published = await operator.publish(publications.parse_writes(approval), "owner")
        await until_in_force(fleet, session, published.offset)
        before = await has_starts(fleet)
        job = asyncio.create_task(run_job(paused, team.credential, run_ms=60_000))
        await until(lambda: has_starts(fleet, before))
        await fleet.kill(target)
        published = await operator.publish(team_file("silent", "fourth"), "ada")
        await until_in_force(fleet, session, published.offset)
        assert await codes_everywhere(fleet, session, "silent.fourth") == accepted
        for secret in ("first", "second", "third"):
            assert await codes_everywhere(fleet, session, f"silent.{secret}") == refused
        assert (await job).state is results.JobState.FAILED


async def has_starts(fleet, before=0):
    """Return the number of starts when it is over ``before``, else 0."""
    [target] = fleet.targets_by_name.values()
    count = sum((await target.counts()).starts.values())
    return count if count > before else 0


def is_dead(status, name):
    return any(found["name"] == name and found["state"] == "dead" for found in status["members"])


@pytest.mark.promise("configuration_in_force", failures=[])
async def test_work_not_started_is_refused_when_the_approval_is_revoked(team):
    async with running_fleet(team, nodes=1, slots=2) as (fleet, session):
        [node] = fleet.nodes_by_name.values()
        [target] = fleet.targets_by_name.values()
        job = asyncio.create_task(run_job(node, team.credential, count=TASKS, run_ms=150))

        async def starts():
            return sum((await target.counts()).starts.values())

        await until(starts)
        writes = publications.parse_writes(f"[target {target.vm.name}]\nlabels = kind=dryer\n")
        revoked = await publisher(fleet, session).publish(writes, "owner")
        await until_in_force(fleet, session, revoked.offset)
        before = await starts()
        answer = await job
        assert answer.code is results.ResultCode.APPROVAL_REVOKED
        words = [task.outcome for task in answer.tasks]
        ran = words.count(results.TaskOutcome.SUCCEEDED)
        assert ran == await starts()
        assert words.count(results.TaskOutcome.NOT_RUN) == TASKS - ran
        assert ran <= before + CONNECTIONS
        with pytest.raises(errors.RefusedError) as caught:
            await run_job(node, team.credential)
        assert caught.value.code is results.ResultCode.NOT_APPROVED
        assert await starts() == ran
