"""The command of the simulator adapter: `python -m burlmoor.simulator_adapter`."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from burlmoor.simulator_adapter.dispatcher_host import DispatcherHost
from burlmoor.simulator_adapter.wire import MalformedLineError

if TYPE_CHECKING:
    from typing import TextIO

INVALID_INPUT_STATUS = 2


def serve(source: TextIO, sink: TextIO) -> None:
    """Write the reply to each line of `source` to `sink`, until the end of input.

    Raises:
        MalformedLineError: a line can't be parsed.
    """
    host = DispatcherHost()
    for line in source:
        sink.write(host.reply(line) + "\n")
        sink.flush()


def main() -> int:
    """Run on standard input and output; return the exit status."""
    try:
        serve(sys.stdin, sys.stdout)
    except MalformedLineError as error:
        print(f"burlmoor: {error}", file=sys.stderr)
        return INVALID_INPUT_STATUS
    return 0


if __name__ == "__main__":
    sys.exit(main())
