"""`python -m burlmoor.testbed.mutations NAME` runs a node with a mutation."""

from __future__ import annotations

import sys

from burlmoor.testbed.mutations import MUTATIONS


def main() -> int:
    """Apply the mutation that the first argument names, run the node, and return its exit status."""
    MUTATIONS[sys.argv[1]].apply()
    from burlmoor.lifecycle.process import main as run_node  # noqa: PLC0415 - after the mutation is applied

    return run_node()


if __name__ == "__main__":
    sys.exit(main())
