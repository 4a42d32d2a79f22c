"""Modules of the kernel import each other one way only, also for types."""

import graphlib
import pathlib
import re

import chiveridge_kernel

_IMPORT = re.compile(r"^ *from chiveridge_kernel import (?:\(([^)]*)\)|(.*))$", re.MULTILINE)


def imports_by_module() -> dict[str, set[str]]:
    """Return what each module imports of its package, imports for types included."""
    folder = pathlib.Path(chiveridge_kernel.__file__).parent
    return {path.stem: _find_imports(path.read_text("utf-8")) for path in folder.glob("*.py")}


def _find_imports(text: str) -> set[str]:
    names: set[str] = set()
    for parenthesized, unparenthesized in _IMPORT.findall(text):
        names.update(
            name.strip() for name in (parenthesized or unparenthesized).split(",") if name.strip()
        )
    return names


def test_there_are_no_import_cycles():
    found = imports_by_module()
    assert "handlers" in found["kernels"]
    order = list(graphlib.TopologicalSorter(found).static_order())
    assert len(order) >= len(found)
