"""Process of the adapter: reads batches from standard input and writes replies to standard output."""

from __future__ import annotations

import io
import sys

from cressrail.wirehost.codec import MalformedLineError
from cressrail.wirehost.host import serve

EXIT_MALFORMED_INPUT = 2


def main() -> int:
    """Serves batches until the input ends, and returns the exit status."""
    source = io.TextIOWrapper(sys.stdin.buffer, encoding="utf-8", newline="\n")
    sink = io.TextIOWrapper(sys.stdout.buffer, encoding="utf-8", newline="\n")
    try:
        serve(source, sink)
    except MalformedLineError as error:
        print(f"cressrail.wirehost: {error}", file=sys.stderr)
        return EXIT_MALFORMED_INPUT
    except BrokenPipeError:
        return 0
    return 0


sys.exit(main())
