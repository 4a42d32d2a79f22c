import pathlib
import subprocess
import sys

import pytest

pytest_plugins = ("pytester",)

ROOT = pathlib.Path(__file__).parent.parent
PLUGINS = pathlib.Path(__file__).parent / "plugins"
MARKED = "import pytest\n@pytest.mark.promise({})\ndef test_it(): pass\n"


@pytest.fixture
def project(pytester, monkeypatch):
    monkeypatch.setenv("PYTEST_DISABLE_PLUGIN_AUTOLOAD", "1")
    pytester.makeini(f"[pytest]\npythonpath = {PLUGINS}\naddopts = -p no:cacheprovider\n")
    pytester.makeconftest("pytest_plugins = ('proofs',)")
    return pytester


def generate_page(directory: pathlib.Path, page: pathlib.Path) -> str:
    command = [sys.executable, "-m", "pytest", "--collect-only", f"--proof-page={page}"]
    subprocess.run(command, cwd=directory, check=True, capture_output=True)
    return page.read_text()


def test_a_cell_lists_its_tests(project):
    project.makepyfile(MARKED.format("'at_most_once', failures=['kill', 'cut']"))
    page = project.path / "PROOF.md"
    project.runpytest("--collect-only", f"--proof-page={page}")
    row = next(line for line in page.read_text().splitlines() if "| at_most_once" in line)
    assert row.split(" | ")[1:4] == ["test_it", "not proved", "test_it"]


@pytest.mark.parametrize("arguments", ["'no_such'", "'at_most_once', failures=['no_such']", ""])
def test_an_invalid_marker_is_a_usage_error(project, arguments):
    project.makepyfile(MARKED.format(arguments))
    assert project.runpytest().ret == pytest.ExitCode.USAGE_ERROR


@pytest.fixture(scope="module")
def current_page(tmp_path_factory):
    return generate_page(ROOT, tmp_path_factory.mktemp("proof") / "PROOF.md")


def test_the_committed_page_is_current(current_page):
    committed = ROOT.joinpath("docs", "PROOF.md").read_text()
    assert committed == current_page, "run make proof and commit docs/PROOF.md"


def test_every_promise_has_a_test(current_page):
    sections = current_page.split("\n## ")[1:]
    unproved = [text.split("\n")[0] for text in sections if text.strip().endswith("not proved")]
    assert unproved == []
