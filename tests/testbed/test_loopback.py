"""Loopback hosts of a run."""

from __future__ import annotations

import socket

from cressrail.testbed.loopback import loopback_host


def test_hosts_differ_and_can_be_used() -> None:
    hosts = [loopback_host(number) for number in range(762)]

    assert len(set(hosts)) == len(hosts)
    for host in hosts[::100]:
        with socket.socket() as sock:
            sock.bind((host, 0))
