import datetime
import hashlib
import random
from collections.abc import Callable, Sequence

import msgspec
import pytest

from chiveridge_kernel import (
    actions,
    clocks,
    errors,
    events,
    kernel_parts,
    kernels,
    messages,
    records,
    submission_ids,
    vms,
)

TEAM = "dispatch-desk"
SECRET = "secret-of-the-tests"
START = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)


def milliseconds(count: int) -> datetime.timedelta:
    return datetime.timedelta(milliseconds=count)


class DrivenKernel:
    """A kernel with one team, some targets and a clock that the test controls."""

    def __init__(self, target_count: int = 3, policy: str = "power_of_two", **settings):
        self.clock = clocks.ManualClock(START)
        self.kernel = kernels.Kernel(
            kernel_parts.KernelSettings(
                node="ikeja-e1",
                domain="ikeja",
                incarnation="first-life",
                secret=b"s" * 32,
                policy=policy,
                **settings,
            ),
            random.Random(7),
        )
        self.performed: list[actions.Action] = []
        names = [f"ikeja-t{number + 1}" for number in range(target_count)]
        self.targets_by_name = {
            name: vms.Vm(
                name=name,
                role=vms.VmRole.TARGET,
                domain="ikeja",
                address="127.0.0.1",
                port=9000 + index,
                slots=8,
                memory_mb=1024,
                cores=8,
            )
            for index, name in enumerate(names)
        }
        self.list_targets(self.targets_by_name.values())
        change = make_initial_change(names)
        self.handle(events.RecordsRead(records=[(0, msgspec.to_builtins(change))]))

    def list_targets(self, targets) -> None:
        self.handle(events.VmsListed(listing=vms.VmList(1, list(targets))))

    def handle(self, event: events.Event) -> list[actions.Action]:
        done = self.kernel.handle(event, self.clock.now())
        self.performed += done
        return done

    def advance(self, count_ms: int) -> list[actions.Action]:
        self.clock.advance(milliseconds(count_ms))
        return self.handle(events.Ticked())

    def issue(self) -> str:
        return self.kernel.admissions.issue(TEAM, 1, self.clock.now()).submission_ids[0]

    def submit(
        self, submission_id: str | None = None, count: int = 1, body: bytes = b"null", **fields
    ) -> str:
        """Submit a job and return its id; the actions are appended to ``performed``."""
        submission_id = submission_id or self.issue()
        arrived_at = fields.pop("arrived_at", None)
        submission = messages.Submission(
            submission_id=submission_id,
            tasks=[messages.TaskSpec(msgspec.Raw(body), **fields.pop("needs", {}))] * count,
            **fields,
        )
        digest = hashlib.sha256(msgspec.json.encode(submission)).digest()
        self.handle(
            events.SubmissionReceived(
                team=fields.get("team", TEAM),
                submission=submission,
                digest=digest,
                arrived_at=arrived_at,
            )
        )
        return submission_id

    def report(self, lease_id: str, outcome: events.LeaseOutcome, **fields):
        return self.handle(events.LeaseReported(lease_id=lease_id, outcome=outcome, **fields))

    def cancel(self, submission_id: str):
        return self.handle(events.CancelReceived(team=TEAM, submission_id=submission_id))

    def find(self, submission_id: str, team: str = TEAM):
        return self.kernel.admissions.find(submission_id, team, self.clock.now())

    def of(self, kind: type) -> list:
        """Return the actions of one type so far, in order."""
        return [action for action in self.performed if isinstance(action, kind)]

    def starts(self) -> list[actions.StartTask]:
        return self.of(actions.StartTask)

    def answer(self) -> messages.JobAnswer:
        """Return the only answer given so far."""
        (given,) = self.of(actions.AnswerJob)
        return given.answer

    def refusal_of(self, call, *arguments, **fields) -> errors.RefusedError:
        with pytest.raises(errors.RefusedError) as caught:
            call(*arguments, **fields)
        return caught.value


def make_initial_change(names: Sequence[str], team_name: str = TEAM) -> records.ChangeRecord:
    digest = hashlib.sha256(SECRET.encode()).hexdigest()
    team = records.TeamObject(name=team_name, key_digests=[digest])
    rule = records.RuleObject(name="all")
    writes = [
        records.ObjectWrite(kind=records.ObjectKind.TEAM, name=team_name, team=team),
        records.ObjectWrite(kind=records.ObjectKind.RULE, name="all", rule=rule),
    ]
    for name in names:
        target = records.TargetObject(name=name, approved_teams=[team_name])
        writes.append(records.ObjectWrite(kind=records.ObjectKind.TARGET, name=name, target=target))
    return records.ChangeRecord(
        change_id="first", actor="operator", changed_at="2026-01-01T00:00:00Z", writes=writes
    )


@pytest.fixture
def driven() -> DrivenKernel:
    return DrivenKernel()


@pytest.fixture
def drive() -> type[DrivenKernel]:
    return DrivenKernel


@pytest.fixture
def make_change() -> Callable[[Sequence[str], str], records.ChangeRecord]:
    return make_initial_change


@pytest.fixture
def lifetime() -> datetime.timedelta:
    return submission_ids.ID_LIFETIME
