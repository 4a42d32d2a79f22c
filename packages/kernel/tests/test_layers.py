"""The modules of the kernel have no import cycles, including imports for types."""

import graphlib
import pathlib
import re

import chiveridge_kernel

_IMPORT = re.compile(r"^ *from chiveridge_kernel import (?:\(([^)]*)\)|(.*))$", re.MULTILINE)


def imports_by_module() -> dict[str, set[str]]:
    """Return the modules of the package that each module imports, also only for types."""
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
    module_imports = imports_by_module()
    assert "handlers" in module_imports["kernels"]
    order = list(graphlib.TopologicalSorter(module_imports).static_order())
    assert len(order) >= len(module_imports)
