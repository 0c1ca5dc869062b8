"""Fixtures that start a sidecar among stand-in endpoints and end both after the test."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import ExitStack
from pathlib import Path
from typing import Any

import pytest

from tests.faults.support import EndpointPeer, Sidecar, StandInEndpoint

StartEndpoint = Callable[..., StandInEndpoint]
StartSidecar = Callable[..., Sidecar]


@pytest.fixture
def cleanup() -> Iterator[ExitStack]:
    with ExitStack() as stack:
        yield stack


@pytest.fixture
def start_endpoint(cleanup: ExitStack) -> StartEndpoint:
    def start(name: str, script: Callable[[EndpointPeer], None], buffer_bytes: int = 0) -> StandInEndpoint:
        endpoint = StandInEndpoint(name, script, buffer_bytes)
        cleanup.callback(endpoint.close)
        return endpoint

    return start


@pytest.fixture
def start_sidecar(cleanup: ExitStack, tmp_path: Path) -> StartSidecar:
    def start(*endpoints: StandInEndpoint, **options: Any) -> Sidecar:
        sidecar = Sidecar(tmp_path, list(endpoints), **options)
        cleanup.callback(sidecar.close)
        return sidecar

    return start
