"""Modules import only from the layers below their own, in the order of `docs/architecture.md`."""

from __future__ import annotations

import ast
from pathlib import Path
from typing import TYPE_CHECKING

import pytest

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

ROOT = Path(__file__).parents[1]
# Each layer may import from itself and from later rows; layers in one row must not import each other.
LAYERS: tuple[tuple[str, ...], ...] = (
    ("__main__", "cli"),
    ("simulation",),
    ("testbed",),
    ("lifecycle",),
    ("deferred",),
    ("admin",),
    ("discovery", "downstream"),
    ("upstream",),
    ("engine",),
    ("simulator_adapter",),
    ("policy",),
    ("policy.endpoints",),
    ("policy.statistics",),
    ("policy.model",),
    ("config",),
    ("endpoints",),
    ("membership", "transport", "types"),
    ("invariants", "counters"),
    ("clock", "log", "early_signals"),
    ("errors", "log_events"),
)
RANK = {layer: rank for rank, row in enumerate(LAYERS) for layer in row}


def imported_layers(source: Path) -> Iterator[str]:
    """Yield the layers that a module imports from, including imports within functions."""
    for node in ast.walk(ast.parse(source.read_text())):
        names: list[str] = []
        if isinstance(node, ast.ImportFrom) and node.module is not None:
            names = [node.module] if node.module != "burlmoor" else [f"burlmoor.{a.name}" for a in node.names]
        elif isinstance(node, ast.Import):
            names = [alias.name for alias in node.names]
        for name in names:
            parts = name.split(".")
            if parts[0] == "burlmoor" and len(parts) > 1:
                yield layer_of(parts[1:])


def layer_of(parts: Sequence[str]) -> str:
    """Return the layer of a module by its path below `burlmoor`: its subpackage if that is a layer."""
    subpackage = ".".join(parts[:2])
    return subpackage if subpackage in RANK else parts[0]


def layer_of_source(source: Path) -> str:
    return layer_of(source.relative_to(ROOT / "burlmoor").with_suffix("").parts)


def upward_imports(source: Path) -> list[str]:
    """Return the layers in the module's own row or above it from which it imports."""
    own = layer_of_source(source)
    return [layer for layer in imported_layers(source) if layer != own and RANK[layer] <= RANK[own]]


SOURCES = [
    source
    for source in sorted((ROOT / "burlmoor").rglob("*.py"))
    if source.parent.name != "burlmoor" or source.name != "__init__.py"
]


@pytest.mark.parametrize("source", SOURCES, ids=lambda source: str(source.relative_to(ROOT)))
def test_a_module_imports_only_layers_below_its_own(source: Path) -> None:
    assert upward_imports(source) == []


def test_an_upward_import_is_detected(tmp_path: Path) -> None:
    module = tmp_path / "module.py"
    module.write_text("def late():\n    from burlmoor.engine.engine import Engine\n")
    assert list(imported_layers(module)) == ["engine"]
    assert RANK["engine"] < RANK["policy"] < RANK["types"]
