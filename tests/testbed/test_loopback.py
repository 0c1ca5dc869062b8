"""Loopback addresses of a run."""

from __future__ import annotations

import socket

from cressrail.testbed.loopback import loopback_host


def test_hosts_are_distinct_and_can_be_bound() -> None:
    hosts = [loopback_host(number) for number in range(762)]

    assert len(set(hosts)) == len(hosts)
    for host in hosts[::100]:
        with socket.socket() as sock:
            sock.bind((host, 0))
