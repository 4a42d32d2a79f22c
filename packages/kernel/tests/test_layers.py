"""Modules of the kernel import each other one way only, also for types."""

import graphlib
import pathlib
import re

import chiveridge_kernel

_IMPORT = re.compile(r"^ *from chiveridge_kernel import (?:\(([^)]*)\)|(.*))$", re.MULTILINE)


def imports_by_module() -> dict[str, set[str]]:
    """Return what each module imports of its package, imports for types included."""
    folder = pathlib.Path(chiveridge_kernel.__file__).parent
    return {path.stem: _imported(path.read_text("utf-8")) for path in folder.glob("*.py")}


def _imported(text: str) -> set[str]:
    names: set[str] = set()
    for inside, single in _IMPORT.findall(text):
        names.update(name.strip() for name in (inside or single).split(",") if name.strip())
    return names


def test_no_modules_import_each_other():
    found = imports_by_module()
    assert "handlers" in found["kernels"]
    order = list(graphlib.TopologicalSorter(found).static_order())
    assert len(order) >= len(found)
