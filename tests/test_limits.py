"""The module's own limits: it must stay readable in a first day."""

from pathlib import Path

SOURCE = Path(__file__).parent.parent / "burlmoor" / "decide.py"


def test_the_module_stays_within_its_ceiling() -> None:
    lines = SOURCE.read_text().splitlines()
    assert sum(bool(line.strip()) for line in lines) <= 750
    assert max(map(len, lines)) <= 110


def test_the_module_names_its_types_in_its_first_lines() -> None:
    assert "burlmoor/messages.py" in "\n".join(SOURCE.read_text().splitlines()[:8])
