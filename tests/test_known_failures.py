import pathlib

import pytest

pytest_plugins = ("pytester",)

PLUGINS = pathlib.Path(__file__).parent / "plugins"

ENTRY = """
# a comment
test: test_it.py::test_red
command: make test, seed 7
seen: 2 starts of key k
issue: 3
"""


@pytest.fixture
def project(pytester, monkeypatch):
    monkeypatch.setenv("PYTEST_DISABLE_PLUGIN_AUTOLOAD", "1")
    pytester.makeini(f"[pytest]\npythonpath = {PLUGINS}\naddopts = -p no:cacheprovider\n")
    pytester.makeconftest("pytest_plugins = ('known_failures',)")
    pytester.path.joinpath("KNOWN-RED.txt").write_text(ENTRY)
    return pytester


def test_a_listed_failure_is_printed_and_does_not_fail_the_run(project):
    project.makepyfile(test_it="def test_red(): assert False\ndef test_green(): pass")
    result = project.runpytest("-q")
    assert result.ret == pytest.ExitCode.OK
    result.stdout.fnmatch_lines(["test_it.py::test_red: still fails", "*2 starts of key k*seed 7*"])


def test_a_listed_error_in_a_fixture_does_not_fail_the_run(project):
    source = "import pytest\n@pytest.fixture\ndef broken(): raise OSError\n"
    project.makepyfile(test_it=source + "def test_red(broken): pass")
    result = project.runpytest("-q")
    assert result.ret == pytest.ExitCode.OK
    result.stdout.fnmatch_lines(["test_it.py::test_red: still fails"])


def test_a_failure_that_is_not_listed_fails_the_run(project):
    project.makepyfile(test_it="def test_red(): assert False\ndef test_other(): assert False")
    assert project.runpytest("-q").ret == pytest.ExitCode.TESTS_FAILED


def test_a_listed_test_that_passes_is_reported_for_removal(project):
    project.makepyfile(test_it="def test_red(): pass")
    result = project.runpytest("-q")
    assert result.ret == pytest.ExitCode.OK
    result.stdout.fnmatch_lines(["test_it.py::test_red: passes now, remove the entry"])


def test_a_listed_test_that_does_not_exist_is_reported_as_not_run(project):
    project.makepyfile(test_it="def test_green(): pass")
    result = project.runpytest("-q")
    result.stdout.fnmatch_lines(["test_it.py::test_red: not run"])


@pytest.mark.parametrize(
    "invalid_text", ["test: a::b\n", ENTRY + "\n" + ENTRY, ENTRY + "more: x\n"]
)
def test_an_invalid_list_is_a_usage_error(project, invalid_text):
    project.path.joinpath("KNOWN-RED.txt").write_text(invalid_text)
    project.makepyfile(test_it="def test_red(): pass")
    assert project.runpytest("-q").ret == pytest.ExitCode.USAGE_ERROR


def test_a_list_above_the_root_folder_names_its_tests_relative_to_itself(project):
    folder = project.mkdir("part")
    entry = ENTRY.replace("test_it.py", "part/tests/test_it.py")
    project.path.joinpath("KNOWN-RED.txt").write_text(entry)
    folder.joinpath("pytest.ini").write_text(project.path.joinpath("tox.ini").read_text())
    folder.joinpath("conftest.py").write_text("pytest_plugins = ('known_failures',)")
    folder.joinpath("tests").mkdir()
    source = "def test_red(): assert False\ndef test_new(): assert False"
    folder.joinpath("tests", "test_it.py").write_text(source)
    result = project.runpytest("-q", "--rootdir", str(folder), str(folder))
    result.stdout.fnmatch_lines(["part/tests/test_it.py::test_red: still fails"])
    result.assert_outcomes(xfailed=1, failed=1)
