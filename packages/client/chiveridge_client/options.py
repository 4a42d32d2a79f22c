"""Parses the flags of the command line into one typed value."""

import datetime

import msgspec
from absl import flags

from chiveridge_client import errors, publications, settings
from chiveridge_kernel import messages

NO_WAIT = datetime.timedelta(0)
SETTING_NAMES = ("nodes", "credential", "credential_file", "log_url", "stream", "actor")

_MAX_SECONDS = messages.MAX_DEADLINE_MS / 1000


class Options(msgspec.Struct, frozen=True, kw_only=True):
    """Options of one invocation; ``setting_flags`` override the configuration file."""

    config: str
    setting_flags: dict[str, str]
    json: bool
    help: bool
    task_body: str
    count: int
    selector: str
    deadline: datetime.timedelta
    wait: datetime.timedelta | None
    idempotent: bool
    comment: str
    change_id: str


def define_flags(flag_values: flags.FlagValues) -> None:
    """Define every flag of the command in ``flag_values``."""
    _define_settings(flag_values)
    _define_job(flag_values)
    flags.DEFINE_bool("json", False, "print JSON for scripts", flag_values=flag_values)
    flags.DEFINE_bool("help", False, "print this help", short_name="h", flag_values=flag_values)
    flags.DEFINE_string("comment", "", "publish: why the change is made", flag_values=flag_values)
    flags.DEFINE_string(
        "change_id",
        "",
        "publish: id of an earlier change whose outcome is unknown",
        flag_values=flag_values,
    )


def parse(arguments: list[str]) -> tuple[Options, list[str]]:
    """Return the options of a command line and its positional arguments.

    ``arguments`` does not include the name of the program.

    :raises errors.InvalidInputError: when a flag is unknown or its value is invalid.
    """
    flag_values = flags.FlagValues()
    define_flags(flag_values)
    flag_values.set_gnu_getopt(True)
    try:
        words = flag_values(["chiveridge", *arguments])[1:]
    except flags.Error as error:
        raise errors.InvalidInputError([str(error)]) from error
    return _options(flag_values), words


def describe_flags() -> str:
    """Return the list of flags for the help page."""
    flag_values = flags.FlagValues()
    define_flags(flag_values)
    return flag_values.module_help(__name__)


def _define_settings(flag_values: flags.FlagValues) -> None:
    texts_by_name = {
        "config": f"INI file whose [{settings.SECTION}] section holds defaults",
        "nodes": f"addresses of the nodes, IP:PORT,... [{settings.DEFAULT_NODES}]",
        "credential": "credential of the calling team, TEAM.SECRET",
        "credential_file": "file that holds the credential",
        "log_url": f"URL of the platform's log [{settings.DEFAULT_LOG_URL}]",
        "stream": f"stream of the configuration [{publications.DEFAULT_STREAM}]",
        "actor": "who publishes [the user of the operating system]",
    }
    for name, text in texts_by_name.items():
        flags.DEFINE_string(name, "", text, flag_values=flag_values)


def _define_job(flag_values: flags.FlagValues) -> None:
    flags.DEFINE_string("task_body", "", "submit: JSON body of each task", flag_values=flag_values)
    flags.DEFINE_integer(
        "count",
        1,
        "submit: number of tasks with --task_body",
        lower_bound=1,
        upper_bound=messages.MAX_TASKS_PER_JOB,
        flag_values=flag_values,
    )
    flags.DEFINE_string("selector", "", "submit: labels of targets", flag_values=flag_values)
    flags.DEFINE_float(
        "deadline",
        30.0,
        "submit: seconds in which the job must end",
        lower_bound=0.001,
        upper_bound=_MAX_SECONDS,
        flag_values=flag_values,
    )
    flags.DEFINE_float(
        "wait",
        None,
        "seconds to wait [submit: the deadline; job: 0; publish: not at all]",
        lower_bound=0.0,
        upper_bound=_MAX_SECONDS,
        flag_values=flag_values,
    )
    flags.DEFINE_bool(
        "idempotent", False, "submit: a task may run again after a failure", flag_values=flag_values
    )


def _options(flag_values: flags.FlagValues) -> Options:
    wait = None if flag_values.wait is None else datetime.timedelta(seconds=flag_values.wait)
    return Options(
        config=flag_values.config,
        setting_flags={name: flag_values[name].value for name in SETTING_NAMES},
        json=flag_values.json,
        help=flag_values.help,
        task_body=flag_values.task_body,
        count=flag_values.count,
        selector=flag_values.selector,
        deadline=datetime.timedelta(seconds=flag_values.deadline),
        wait=wait,
        idempotent=flag_values.idempotent,
        comment=flag_values.comment,
        change_id=flag_values.change_id,
    )
