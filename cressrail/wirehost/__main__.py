"""python -m cressrail.wirehost: batches on standard input, replies on standard output."""

from __future__ import annotations

import io
import sys

from cressrail.wirehost.codec import MalformedLineError
from cressrail.wirehost.host import serve


def main() -> int:
    source = io.TextIOWrapper(sys.stdin.buffer, encoding="utf-8", newline="\n")
    sink = io.TextIOWrapper(sys.stdout.buffer, encoding="utf-8", newline="\n")
    try:
        serve(source, sink)
    except MalformedLineError as wrong:
        print(f"cressrail.wirehost: {wrong}", file=sys.stderr)
        return 2
    except BrokenPipeError:
        return 0
    return 0


sys.exit(main())
