"""Targets that restart: what was known of one incarnation is not used for the next."""

import datetime

import msgspec
import pools
import pytest

from chiveridge_pool import actions, events, identifiers, messages, notes, resources

MS = datetime.timedelta(milliseconds=1)


class _Restarts:
    """A pool with one target of kind ``a``, which restarts as another kind."""

    def __init__(self, *, nodes=1, down_ms=1000, **options):
        self.model = pools.pool(nodes_per_domain=nodes, targets_per_domain=0, domains="a")
        self.target = self.model.add_target("a", labels=("a",), **options)
        self.target.restart_time = down_ms * MS
        for node in self.model.nodes_by_name.values():
            node.handle(events.TargetsListed(targets=self.model.listed()))
        self.model.run(seconds=1)
        self.starts: list[tuple[str, datetime.datetime]] = []
        self._begin_run = self.target._begin_run
        self.target._begin_run = self._record_start
        self._number = 0

    def _record_start(self, key, spec):
        self.starts.append((self.target.target.labels[0], self.model.simulation.now))
        self._begin_run(key, spec)

    def restart(self, label="b", cpu=64_000):
        """Crash the target; it comes back with another label and capacity."""
        self.target.crash_under(self.target.incarnation)
        self.target.target = msgspec.structs.replace(
            self.target.target, labels=(label,), capacity=resources.Resources(cpu, 131_072, 0)
        )

    def submit(self, label, count=1, work_ms=40.0, node=1):
        self._number += 1
        request = pools.job(
            f"{self._number:016x}",
            count,
            work_ms,
            label=label,
            caller_timeout=datetime.timedelta(seconds=9),
            objective_base=datetime.timedelta(seconds=4),
        )
        return self.model.submit(pools.node(self.model, node), request)

    def keep_submitting(self, seconds, *labels):
        for _ in range(round(seconds / 0.02)):
            for label in labels:
                self.submit(label)
            self.model.run(seconds=0.02)

    def starts_since(self, since):
        return [(label, at) for label, at in self.starts if at >= since]


@pytest.mark.promise("own_whole_answer", failures=["target_death"])
@pytest.mark.parametrize("down_ms", [1, 300, 1000, 4000])
def test_a_target_that_restarts_as_another_kind_gets_no_tasks_for_its_old_label(down_ms):
    """Its owner used the labels of the old entry until the next poll of the list."""
    restarts = _Restarts(down_ms=down_ms)
    restarts.keep_submitting(0.3, "a")
    assert restarts.starts
    restarts.restart("b")
    crashed_at = restarts.model.simulation.now
    restarts.keep_submitting(down_ms / 1000 + 1.0, "a")
    assert restarts.starts_since(crashed_at) == []


def test_a_restarted_target_is_in_use_again_within_a_tenth_of_a_second():
    restarts = _Restarts(down_ms=1000)
    restarts.keep_submitting(0.3, "a")
    restarts.restart("b")
    back_at = restarts.model.simulation.now + 1000 * MS
    restarts.keep_submitting(1.5, "b")
    (label, first_at), *_ = restarts.starts_since(back_at)
    assert label == "b"
    # The claim of a target that refuses connections is tried each 100 ms, the list is read in 20.
    assert first_at - back_at <= 200 * MS


def test_the_list_is_not_asked_for_while_no_target_has_restarted():
    restarts = _Restarts()
    restarts.keep_submitting(2.0, "a")
    assert restarts.starts
    awaited = [note for note in restarts.model.notes if note.event is notes.NoteEvent.ENTRY_AWAITED]
    assert awaited == []


@pytest.mark.parametrize("cpu", [20_000, 30_000])
def test_a_target_that_restarts_smaller_is_not_overloaded_where_it_does_not_guard_its_capacity(cpu):
    restarts = _Restarts(guards_capacity=False)
    restarts.submit("a", count=6, work_ms=300.0)
    restarts.model.run(seconds=0.1)
    restarts.restart("a", cpu)
    restarts.submit("a", count=6, work_ms=300.0)
    for _ in range(150):
        restarts.model.run(seconds=0.02)
        used = sum(run.size.cpu for run in restarts.target._running.values())
        assert restarts.target.is_down or used <= cpu


@pytest.mark.promise("own_whole_answer", failures=["platform_outage", "target_death"])
def test_a_target_that_restarts_while_the_store_is_away_waits_for_its_entry():
    restarts = _Restarts(down_ms=300)
    restarts.model.is_store_away = True
    restarts.restart("b")
    crashed_at = restarts.model.simulation.now
    restarts.keep_submitting(3.0, "a", "b")
    assert restarts.starts_since(crashed_at) == []
    restarts.model.is_store_away = False
    restarts.keep_submitting(1.5, "a", "b")
    assert {label for label, _ in restarts.starts_since(crashed_at)} == {"b"}
    read = [note for note in restarts.model.notes if note.event is notes.NoteEvent.ENTRY_READ]
    assert len(read) == 1
    assert read[0].fields["waited_ms"] > 2000


def test_a_node_that_reads_the_entry_of_a_restarted_target_tells_its_owner():
    """The store may be away for the owner and there for other nodes."""
    restarts = _Restarts(nodes=2, down_ms=300)
    model = restarts.model
    owner, other = sorted(
        model.nodes_by_name.values(),
        key=lambda node: -len(node.kernel.target_owner.owned_tokens()),
    )
    model.lists_restarted_targets = False
    restarts.restart("b")
    restarts.keep_submitting(1.0, "b")
    assert [label for label, _ in restarts.starts if label == "b"] == []
    other.handle(events.TargetsListed(targets=model.listed()))
    restarts.keep_submitting(0.5, "b")
    assert owner.kernel.target_owner.owned_by_target
    assert [label for label, _ in restarts.starts if label == "b"]


@pytest.mark.parametrize("is_read_again", [False, True])
def test_an_entry_that_names_no_incarnation_is_used_once_it_was_read_after_the_restart(
    is_read_again,
):
    restarts = _Restarts()
    model, node = restarts.model, pools.node(restarts.model, 1)
    model.lists_restarted_targets = is_read_again

    def listed():
        return (msgspec.structs.replace(restarts.target.target, started_at_ms=0),)

    model.listed = listed
    node.handle(events.TargetsListed(targets=listed()))
    restarts.keep_submitting(0.3, "a")
    assert restarts.starts
    restarts.restart("b")
    crashed_at = model.simulation.now
    restarts.keep_submitting(2.0, "a", "b")
    labels = {label for label, _ in restarts.starts_since(crashed_at)}
    assert labels == ({"b"} if is_read_again else set())


def test_a_target_that_tells_no_incarnation_is_used():
    """A target whose replies lack the start time cannot be told from its predecessor."""
    restarts = _Restarts()
    hold_reply = restarts.target._reply
    restarts.target._reply = lambda failure=None: msgspec.structs.replace(
        hold_reply(failure), started_at_ms=0
    )
    restarts.restart("b")
    pools.node(restarts.model, 1).handle(events.TargetsListed(targets=restarts.model.listed()))
    restarts.keep_submitting(2.0, "b")
    assert {label for label, _ in restarts.starts} == {"b"}


def test_a_restart_between_two_polls_is_noticed_before_the_next_start():
    """The connection of the open hold breaks; the new incarnation accepts starts at once."""
    restarts = _Restarts(down_ms=0)
    restarts.keep_submitting(0.3, "a")
    restarts.restart("b")
    crashed_at = restarts.model.simulation.now
    restarts.model.run(seconds=0.0005)
    restarts.keep_submitting(1.0, "a")
    assert restarts.starts_since(crashed_at) == []


def test_a_start_whose_reply_shows_another_clock_is_the_last_before_a_hold():
    """After a silent restart the open hold stays unanswered for its whole wait."""
    restarts = _Restarts()
    restarts.model.run(seconds=1)
    restarts.target.crash()
    restarts.target.target = msgspec.structs.replace(restarts.target.target, labels=("b",))
    crashed_at = restarts.model.simulation.now
    restarts.keep_submitting(1.0, "a")
    assert len(restarts.starts_since(crashed_at)) <= 1


def test_a_handover_by_an_owner_that_has_read_a_later_entry_brings_it():
    restarts = _Restarts(nodes=2, down_ms=300)
    model = restarts.model
    old_owner, new_owner = sorted(
        model.nodes_by_name.values(),
        key=lambda node: -len(node.kernel.target_owner.owned_tokens()),
    )
    restarts.restart("b")
    model.run(seconds=1)
    stale = new_owner.kernel.target_owner.target_list.by_id["t001"]
    outdated = msgspec.structs.replace(stale, labels=("a",), started_at_ms=1)
    new_owner.kernel.target_owner.target_list.by_id["t001"] = outdated
    model.lists_restarted_targets = False
    pools.hand_over_all(old_owner, new_owner)
    crashed_at = model.simulation.now
    restarts.keep_submitting(0.5, "a", "b")
    assert {label for label, _ in restarts.starts_since(crashed_at)} == {"b"}


def test_an_older_entry_of_a_peer_does_not_replace_the_one_in_use():
    restarts = _Restarts(nodes=2)
    node = pools.node(restarts.model, 1)
    known = restarts.target.target
    older = msgspec.structs.replace(known, started_at_ms=0, labels=("z",))
    message = messages.Targets(sender=identifiers.NodeId("n9"), targets=(older,), are_new=True)
    node.handle(events.MessageReceived(message=message))
    assert node.kernel.target_owner.target_list.by_id[known.id].labels == ("a",)


def test_the_speed_of_a_target_is_forgotten_when_it_restarts():
    restarts = _Restarts(down_ms=300)
    node = pools.node(restarts.model, 1)
    orders = node.kernel.target_owner.orders
    target_id = restarts.target.target.id
    orders.preferences.speeds.adopt(target_id, -0.8, 100)
    orders._slow_targets._excess_by_target[target_id] = 3.0
    assert orders._slow_targets.is_slow(target_id)
    restarts.restart("b")
    restarts.model.run(seconds=1)
    assert orders.preferences.speeds.learned(target_id) == (0.0, 0)
    assert not orders._slow_targets.is_slow(target_id)


def test_jobs_complete_after_all_targets_have_restarted():
    model = pools.pool(nodes_per_domain=1, targets_per_domain=4, domains="ab")
    for target in model.targets_by_id.values():
        target.restart_time = 500 * MS
        target.crash_under(target.incarnation)
    model.run(seconds=1)
    callers = [
        model.submit(node, pools.job(f"{number:016x}", 4, 50.0))
        for number, node in enumerate(model.nodes_by_name.values())
    ]
    model.run(seconds=1)
    verdicts = {model.answers_by_caller[caller].verdict for caller in callers}
    assert verdicts == {actions.Verdict.COMPLETE}
