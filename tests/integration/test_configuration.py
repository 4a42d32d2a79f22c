"""Configuration changes while the platform or other processes fail, with real processes."""

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
        domains={DOMAIN: fleet_plans.DomainPlan(node_count=nodes, target_count=1)},
        slots=slots,
        settings=settings,
        proxied_names=frozenset({fleets.PLATFORM}),
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


def racing_publishers(fleet, session, count):
    """Return publishers that all read the log before any of them appends to it."""
    barrier = asyncio.Barrier(count)
    publishers = [publisher(fleet, session) for _ in range(count)]
    for racing_publisher in publishers:
        racing_publisher._log.append = append_after_barrier(racing_publisher._log.append, barrier)
    return publishers


def append_after_barrier(append, barrier):
    has_waited = False

    async def wait_and_append(stream, value):
        nonlocal has_waited
        if not has_waited:
            has_waited = True
            await barrier.wait()
        return await append(stream, value)

    return wait_and_append


def team_writes(name, secret="secret"):
    plan = deployments.TeamPlan(name=name, secret=secret)
    return publications.parse_writes(f"[team {name}]\nkey_digests = {plan.key_digest}\n")


async def read_status(session, node):
    async with session.get(f"{node.url}/v1/status") as reply:
        return await reply.json()


async def wait_until(condition):
    """Wait until an asynchronous condition is true; return its value."""
    async with asyncio.timeout(WAIT_S):
        while True:
            result = await condition()
            if result:
                return result
            await asyncio.sleep(POLL_S)


async def wait_for_status(session, node, condition):
    async def matching_status():
        status = await read_status(session, node)
        return status if condition(status) else None

    return await wait_until(matching_status)


async def wait_until_in_force(fleet, session, offset, names=None):
    for name in names or fleet.nodes_by_name:
        node = fleet.nodes_by_name[name]
        await wait_for_status(session, node, lambda status: status["config_offset"] > offset)


async def request_id_code(session, node, credential):
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
async def test_changes_are_in_force_despite_races_lost_replies_and_a_slow_log(team, tmp_path):
    async with running_fleet(team, nodes=3) as (fleet, session):
        nodes = list(fleet.nodes_by_name.values())
        publications_by_operator = await asyncio.gather(
            *(
                racing_publisher.publish(team_writes("lekki", f"s{i}"), f"op{i}")
                for i, racing_publisher in enumerate(racing_publishers(fleet, session, 6))
            )
        )
        winners = [
            i for i, publication in enumerate(publications_by_operator) if is_accepted(publication)
        ]
        losers = [
            publication for publication in publications_by_operator if not is_accepted(publication)
        ]
        assert len(winners) == 1
        assert {loser.verdict for loser in losers} == {Verdict.CONFLICT}
        assert all(f"of op{winners[0]} wrote it" in loser.message for loser in losers)
        await wait_until_in_force(
            fleet, session, max(publication.offset for publication in publications_by_operator)
        )
        for node in nodes:
            codes = [await request_id_code(session, node, f"lekki.s{i}") for i in range(6)]
            accepted = [i for i, code in enumerate(codes) if code is results.ResultCode.ACCEPTED]
            assert accepted == winners

        await fleet.set_log_faults(drop_append_replies=3)
        publications_by_operator = await asyncio.gather(
            *(
                racing_publisher.publish(team_writes(f"team-{i}"), f"op{i}")
                for i, racing_publisher in enumerate(racing_publishers(fleet, session, 6))
            )
        )
        assert {publication.verdict for publication in publications_by_operator} == {
            Verdict.ACCEPTED
        }
        assert sum(publication.lost_replies for publication in publications_by_operator) == 3

        await fleet.set_log_faults(delay_ms=400)
        slow = await publisher(fleet, session).publish(team_writes("slow"), "op")
        await wait_until_in_force(fleet, session, slow.offset)
        await fleet.set_log_faults(delay_ms=0)
        for node in nodes:
            for name in ("team-0", "team-5", "slow"):
                code = await request_id_code(session, node, f"{name}.secret")
                assert code is results.ResultCode.ACCEPTED
        await check_client_commands(fleet, session, tmp_path)


async def check_client_commands(fleet, session, directory):
    """Check the client's commands ``publish --wait``, ``audit``, ``why`` and ``status``."""
    file = directory / "change.ini"
    file.write_text(f"[team awaited]\nkey_digests = {'ab' * 32}\n")
    code, _ = await run_client_command(fleet, "publish", str(file), f"--wait={WAIT_S}")
    assert code is exits.ExitCode.DONE
    offsets = [
        (await read_status(session, node))["config_offset"] for node in fleet.nodes_by_name.values()
    ]
    _, text = await run_client_command(fleet, "audit", "--json")
    [entry] = [entry for entry in msgspec.json.decode(text) if "awaited" in str(entry)]
    assert min(offsets) > entry[0]
    [target] = fleet.targets_by_name
    code, text = await run_client_command(fleet, "why", "awaited", target)
    assert code is exits.ExitCode.REFUSED
    assert f"target {target!r} does not approve team 'awaited'" in text
    code, text = await run_client_command(fleet, "status", "--json")
    assert code is exits.ExitCode.DONE
    assert [len(found["status"]["members"]) for found in msgspec.json.decode(text)] == [2, 2, 2]


async def run_client_command(fleet, *words):
    """Run a command of the client against a fleet; return its exit code and output."""
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
async def test_a_domain_cut_off_from_the_platform_runs_jobs_and_boots_from_peers(team):
    async with running_fleet(team, nodes=2) as (fleet, session):
        first, second = fleet.nodes_by_name.values()
        published = await publisher(fleet, session).publish(team_writes("lekki"), "ada")
        await wait_until_in_force(fleet, session, published.offset)
        offset_before = (await read_status(session, first))["config_offset"]
        await wait_until_listed(fleet, session)
        fleet.proxies_by_name[fleets.PLATFORM].disconnect()
        for node in (first, second):
            await wait_for_status(session, node, lambda status: status["config_staleness_s"] > 1.5)
            assert (await run_job(node, team.credential)).state is results.JobState.COMPLETE
        published_in_outage = await publisher(fleet, session).publish(
            team_writes("surulere"), "ada"
        )

        await fleet.kill(second.name)
        isolated = await start_with_seeds(fleet, second.name, "127.0.0.1:1")
        await wait_for_status(session, isolated, lambda status: not status["ready"])
        code = await request_id_code(session, isolated, team.credential)
        assert code is results.ResultCode.NOT_READY

        await fleet.kill(second.name)
        seed = f"{first.listening.address}:{first.listening.peer_port}"
        booted = await start_with_seeds(fleet, second.name, seed)
        status = await wait_for_status(session, booted, lambda status: status["ready"])
        assert status["config_offset"] == offset_before
        assert status["config_staleness_s"] is None
        assert "CONFIGURATION_FROM_PEER" in fleet.stderr_tail(booted.name)

        await fleet.proxies_by_name[fleets.PLATFORM].reconnect()
        await wait_until_in_force(fleet, session, published_in_outage.offset)
        for node in fleet.nodes_by_name.values():
            code = await request_id_code(session, node, "surulere.secret")
            assert code is results.ResultCode.ACCEPTED


@pytest.mark.promise("complete_or_failed", failures=["two_at_once"])
@pytest.mark.parametrize("replaced", ["ikeja-e1", "ikeja-e2"])
async def test_a_node_replaced_in_an_outage_runs_jobs(team, replaced):
    async with running_fleet(team, nodes=2) as (fleet, session):
        await wait_until_listed(fleet, session)
        fleet.proxies_by_name[fleets.PLATFORM].disconnect()
        [other] = [node for name, node in fleet.nodes_by_name.items() if name != replaced]
        await fleet.kill(replaced)
        seed = f"{other.listening.address}:{other.listening.peer_port}"
        booted = await start_with_seeds(fleet, replaced, seed)
        await wait_for_status(session, booted, lambda status: status["ready"])
        answer = await run_job(booted, team.credential, deadline_s=5)
        assert answer.state is results.JobState.COMPLETE


async def wait_until_listed(fleet, session):
    """Wait until every node has all nodes in its list of VMs."""
    names = set(fleet.nodes_by_name)
    for node in fleet.nodes_by_name.values():
        await wait_for_status(session, node, lambda status: names <= listed_names(status))


def listed_names(status):
    return {found if isinstance(found, str) else found["name"] for found in status["nodes"]}


async def start_with_seeds(fleet, name, seeds):
    fleet.plan = msgspec.structs.replace(
        fleet.plan, settings={**SETTINGS, "node": {"seeds": seeds}}
    )
    return await fleet.start_node(name)


@pytest.mark.promise("configuration_in_force", failures=["freeze", "kill"])
async def test_a_paused_node_loads_a_snapshot_after_its_records_expired(team):
    async with running_fleet(team, nodes=2) as (fleet, session):
        running, paused = fleet.nodes_by_name.values()
        fleet.pause(paused.name)
        operator = publisher(fleet, session)
        for number in range(25):
            last = await operator.publish(team_writes(f"team-{number}"), "ada")
        log = platform_logs.LogClient(fleet.platform_url, session)

        async def expire_records():
            page = await log.read(publications.DEFAULT_STREAM, 0, limit=1000)
            kinds = [msgspec.json.decode(record.value)["type"] for record in page.records]
            if "snapshot" not in kinds:
                return None
            await fleet.set_log_faults(max_records=page.next - 10)
            return page.next

        await wait_until(expire_records)
        with pytest.raises(errors.OffsetExpiredError):
            await log.read(publications.DEFAULT_STREAM, 0)
        fleet.resume(paused.name)
        await wait_until_in_force(fleet, session, last.offset, [paused.name])
        assert "CONFIGURATION_FROM_SNAPSHOT" in fleet.stderr_tail(paused.name)
        code = await request_id_code(session, paused, "team-0.secret")
        assert code is results.ResultCode.ACCEPTED

        await fleet.kill(running.name)
        booted = await fleet.start_node(running.name)
        await fleet.wait_ready()
        await wait_until_in_force(fleet, session, last.offset)
        for number in (0, 24):
            code = await request_id_code(session, booted, f"team-{number}.secret")
            assert code is results.ResultCode.ACCEPTED
        later_publication = await publisher(fleet, session).publish(
            team_writes("team-0", "new"), "bola"
        )
        assert later_publication.verdict is Verdict.ACCEPTED


@contextlib.asynccontextmanager
async def check_offsets_never_decrease(fleet, session):
    """Record the applied offsets of all nodes; fail at the end if one of them ever decreased."""
    offsets_by_node = {name: [] for name in fleet.nodes_by_name}

    async def watch(name):
        while True:
            status = await read_status(session, fleet.nodes_by_name[name])
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


async def codes_at_all_nodes(fleet, session, credential):
    """Return the result codes with which the nodes answer requests with a credential."""
    nodes = fleet.nodes_by_name.values()
    return {await request_id_code(session, node, credential) for node in nodes}


@pytest.mark.promise(
    "configuration_in_force", failures=["silent_connection", "target_death", "paused_lease_holder"]
)
async def test_changes_are_in_force_despite_silent_connections_a_dead_target_and_a_paused_node(
    team,
):
    settings = SETTINGS | QUICK_SUSPICION
    accepted, refused = {results.ResultCode.ACCEPTED}, {results.ResultCode.BAD_CREDENTIALS}
    async with (
        running_fleet(team, nodes=2, settings=settings) as (fleet, session),
        check_offsets_never_decrease(fleet, session),
    ):
        running, paused = fleet.nodes_by_name.values()
        operator = publisher(fleet, session)
        await wait_until_listed(fleet, session)
        assert fleet.proxies_by_name[fleets.PLATFORM].counts.open >= len(fleet.nodes_by_name)
        fleet.proxies_by_name[fleets.PLATFORM].blackhole()
        published = await operator.publish(team_writes("silent", "first"), "ada")
        await wait_until_in_force(fleet, session, published.offset)
        assert await codes_at_all_nodes(fleet, session, "silent.first") == accepted

        [target] = fleet.targets_by_name
        paused_job = asyncio.create_task(
            run_job(paused, team.credential, run_ms=60_000, deadline_s=2)
        )
        await wait_until(lambda: count_starts_above(fleet))
        fleet.pause(paused.name)
        await wait_for_status(session, running, lambda status: is_dead(status, paused.name))
        for secret in ("second", "third"):
            await operator.publish(team_writes("silent", secret), "bola")
        revocation = publications.parse_writes(f"[target {target}]\nlabels = kind=dryer\n")
        published = await operator.publish(revocation, "owner")
        await wait_until_in_force(fleet, session, published.offset, [running.name])
        fleet.resume(paused.name)
        await wait_until_in_force(fleet, session, published.offset)
        assert (await paused_job).state is not results.JobState.COMPLETE
        assert await codes_at_all_nodes(fleet, session, "silent.third") == accepted
        for node in (running, paused):
            with pytest.raises(errors.RefusedError) as caught:
                await run_job(node, team.credential)
            assert caught.value.code is results.ResultCode.NOT_APPROVED

        approval = f"[target {target}]\nlabels = kind=dryer\napproved_teams = {team.name}\n"
        published = await operator.publish(publications.parse_writes(approval), "owner")
        await wait_until_in_force(fleet, session, published.offset)
        starts_before = await count_starts_above(fleet)
        job = asyncio.create_task(run_job(paused, team.credential, run_ms=60_000))
        await wait_until(lambda: count_starts_above(fleet, starts_before))
        await fleet.kill(target)
        published = await operator.publish(team_writes("silent", "fourth"), "ada")
        await wait_until_in_force(fleet, session, published.offset)
        assert await codes_at_all_nodes(fleet, session, "silent.fourth") == accepted
        for secret in ("first", "second", "third"):
            assert await codes_at_all_nodes(fleet, session, f"silent.{secret}") == refused
        assert (await job).state is results.JobState.FAILED


async def count_starts_above(fleet, threshold=0):
    """Return the number of starts if it exceeds ``threshold``, else 0."""
    [target] = fleet.targets_by_name.values()
    count = sum((await target.counts()).starts.values())
    return count if count > threshold else 0


def is_dead(status, name):
    return any(member["name"] == name and member["state"] == "dead" for member in status["members"])


@pytest.mark.promise("configuration_in_force", failures=[])
async def test_tasks_not_started_do_not_run_after_their_approval_is_revoked(team):
    async with running_fleet(team, nodes=1, slots=2) as (fleet, session):
        [node] = fleet.nodes_by_name.values()
        [target] = fleet.targets_by_name.values()
        job = asyncio.create_task(run_job(node, team.credential, count=TASKS, run_ms=150))

        async def count_starts():
            return sum((await target.counts()).starts.values())

        await wait_until(count_starts)
        writes = publications.parse_writes(f"[target {target.vm.name}]\nlabels = kind=dryer\n")
        revoked = await publisher(fleet, session).publish(writes, "owner")
        await wait_until_in_force(fleet, session, revoked.offset)
        starts_before = await count_starts()
        answer = await job
        assert answer.code is results.ResultCode.APPROVAL_REVOKED
        outcomes = [task.outcome for task in answer.tasks]
        succeeded = outcomes.count(results.TaskOutcome.SUCCEEDED)
        assert succeeded == await count_starts()
        assert outcomes.count(results.TaskOutcome.NOT_RUN) == TASKS - succeeded
        assert succeeded <= starts_before + CONNECTIONS
        with pytest.raises(errors.RefusedError) as caught:
            await run_job(node, team.credential)
        assert caught.value.code is results.ResultCode.NOT_APPROVED
        assert await count_starts() == succeeded
