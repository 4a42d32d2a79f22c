"""pytest plug-in: tolerates and prints the failures listed in ``KNOWN-RED.txt``.

The file lies in pytest's root folder or above it; its test ids are relative to its own folder.
Listed tests still run. A listed failure does not fail the run, a failure that is not listed
does, and a listed test that passes is printed so that its entry can be removed.
"""

import pathlib

import msgspec
import pytest

FILE_NAME = "KNOWN-RED.txt"
KEYS = ("test", "command", "seen", "issue")
_ENTRIES_KEY = pytest.StashKey[dict[str, "Entry"]]()
_ID_PREFIX_KEY = pytest.StashKey[str]()


class Entry(msgspec.Struct):
    """One listed test: the failure that was seen, and the outcome of the test in this run."""

    test: str
    command: str
    seen: str
    issue: str
    outcome: str = "not run"


def parse_entries(text: str) -> dict[str, Entry]:
    """Return the entries of a file by test id; entries are separated by blank lines.

    :raises pytest.UsageError: when an entry is incomplete, has unknown keys or is listed twice.
    """
    entries_by_test: dict[str, Entry] = {}
    lines = [line for line in text.splitlines() if not line.startswith("#")]
    for block in "\n".join(lines).split("\n\n"):
        if block.strip():
            entry = _parse_entry(block.strip())
            if entry.test in entries_by_test:
                raise pytest.UsageError(f"{FILE_NAME}: {entry.test} is listed twice")
            entries_by_test[entry.test] = entry
    return entries_by_test


def _parse_entry(block: str) -> Entry:
    key_value_pairs = [line.partition(":")[::2] for line in block.splitlines()]
    values = {key.strip(): value.strip() for key, value in key_value_pairs}
    if len(key_value_pairs) != len(KEYS) or set(values) != set(KEYS) or not all(values.values()):
        raise pytest.UsageError(f"{FILE_NAME}: an entry needs {', '.join(KEYS)}:\n{block}")
    return Entry(**values)


def pytest_configure(config: pytest.Config) -> None:
    """Read the list of known failures."""
    path = _find_file(config.rootpath)
    text = "" if path is None else path.read_text(encoding="utf-8")
    config.stash[_ENTRIES_KEY] = parse_entries(text)
    folder = config.rootpath if path is None else path.parent
    parts = config.rootpath.relative_to(folder).parts
    config.stash[_ID_PREFIX_KEY] = "".join(f"{part}/" for part in parts)


def _find_file(folder: pathlib.Path) -> pathlib.Path | None:
    """Return the file's path in a folder or the nearest folder above it that has one."""
    paths = (candidate / FILE_NAME for candidate in (folder, *folder.parents))
    return next((path for path in paths if path.exists()), None)


def _find_entry(item: pytest.Item) -> Entry | None:
    stash = item.config.stash
    return stash[_ENTRIES_KEY].get(stash[_ID_PREFIX_KEY] + item.nodeid)


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Mark the listed tests as expected failures."""
    for item in items:
        entry = _find_entry(item)
        if entry is not None:
            item.add_marker(pytest.mark.xfail(reason=entry.seen, strict=False), append=False)


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(item: pytest.Item, call: pytest.CallInfo):
    """Record the outcome of a listed test."""
    report = yield
    entry = _find_entry(item)
    if entry is not None and hasattr(report, "wasxfail"):
        entry.outcome = "passes now, remove the entry" if report.passed else "still fails"
    return report


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print every entry with its outcome in this run."""
    entries = terminalreporter.config.stash[_ENTRIES_KEY].values()
    if entries:
        terminalreporter.section(FILE_NAME)
    for entry in entries:
        terminalreporter.line(f"{entry.test}: {entry.outcome}")
        terminalreporter.line(f"  seen: {entry.seen} (issue {entry.issue}; {entry.command})")
