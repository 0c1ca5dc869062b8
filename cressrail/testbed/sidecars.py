"""Starts, pauses and ends the processes of real sidecars and of datagram floods against them."""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
import sys
from collections.abc import Sequence
from contextlib import suppress
from http import HTTPStatus
from pathlib import Path

import orjson

from cressrail.http_testing.client import HttpClient, Response
from cressrail.testbed.scenario import FleetScenario
from cressrail.testbed.sidecar_configuration import KEY_FILE, build_configuration
from cressrail.testbed.sidecar_process import SidecarProcess

READY_TIMEOUT_S = 60.0
READY_POLL_INTERVAL_S = 0.02
HEALTH_REQUEST = b"GET /_health HTTP/1.1\r\nhost: x\r\n\r\n"
HEALTH_TIMEOUT_US = 500_000
END_POLL_INTERVAL_S = 0.005
TERMINATION_TIMEOUT_S = 0.1  # time from SIGTERM until a process is killed
MEMBERSHIP_KEY = "5a" * 32  # in hexadecimal
# Turns off the sections that configurations of earlier versions do not have.
OLDER_CONFIGURATION = {"membership": None, "failover": None}
# Indices of the fields of /proc/PID/stat that follow the program's name, see proc(5).
USER_TICKS_FIELD, SYSTEM_TICKS_FIELD = 11, 12


class SidecarManager:
    """Sole owner of the processes of a fleet's sidecars.

    Attributes:
        sidecars: All sidecars that were started so far.
    """

    def __init__(
        self, scenario: FleetScenario, folder: Path, checkout: Path, policy: str, defect: str
    ) -> None:
        """Writes the key file, but starts no processes.

        Args:
            scenario: Scenario of the fleet.
            folder: Folder for configurations, logs and the key file.
            checkout: Checkout of the repository whose sidecars run.
            policy: Name of the policy that the sidecars use.
            defect: Name of a deliberate defect of the sidecars; empty for none.
        """
        self.sidecars: list[SidecarProcess] = []
        self._scenario, self._folder, self._checkout = scenario, folder, checkout
        self._policy, self._defect = policy, defect
        self._written_configurations: dict[str, bytes] = {}
        self._floods: dict[str, subprocess.Popen[bytes]] = {}
        (folder / KEY_FILE).write_text(MEMBERSHIP_KEY + "\n")

    def start(self, sidecar: SidecarProcess, instance_count: int, seed: int, is_older: bool = False) -> None:
        """Starts a sidecar's process; kills an earlier one if it still runs.

        Args:
            sidecar: The sidecar to start.
            instance_count: Number of sidecars that call the same tier.
            seed: Seed of the sidecar's random values.
            is_older: Whether it gets the configuration of an earlier version.
        """
        self.kill(sidecar)  # otherwise overlapping faults would leave a process without an owner
        path = self._write_configuration(sidecar, instance_count, seed, is_older)
        with (self._folder / f"{sidecar.name}.log").open("ab") as log:
            sidecar.process = subprocess.Popen(
                [sys.executable, *self._program_arguments(path)],
                cwd=self._checkout,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=self._environment(),
            )
        if sidecar not in self.sidecars:
            self.sidecars.append(sidecar)

    async def wait_until_ready(self, sidecar: SidecarProcess) -> None:
        """Waits until the sidecar's health check succeeds.

        Raises:
            RuntimeError: The process ended, or no check succeeded within `READY_TIMEOUT_S`.
        """
        loop = asyncio.get_running_loop()
        timeout_at_s = loop.time() + READY_TIMEOUT_S
        while loop.time() < timeout_at_s:
            if sidecar.process is None or sidecar.process.poll() is not None:
                break
            client = HttpClient(*sidecar.address, max_connections=1, keeps_alive=False)
            response: asyncio.Future[Response] = loop.create_future()
            client.send(HEALTH_REQUEST, HEALTH_TIMEOUT_US, response.set_result)
            if (await response).status == HTTPStatus.OK:
                return
            await asyncio.sleep(READY_POLL_INTERVAL_S)
        raise RuntimeError(
            f"sidecar {sidecar.name} ended or was not ready within {READY_TIMEOUT_S:g} s: "
            f"see {self._folder / (sidecar.name + '.log')}"
        )

    def cpu_seconds(self, sidecar: SidecarProcess) -> float:
        """Returns the processor time that the sidecar's process has used; 0 if it has no process."""
        if sidecar.process is None:
            return 0.0
        with suppress(OSError, IndexError):
            fields = Path(f"/proc/{sidecar.process.pid}/stat").read_text().rpartition(")")[2].split()
            ticks = int(fields[USER_TICKS_FIELD]) + int(fields[SYSTEM_TICKS_FIELD])
            return ticks / os.sysconf("SC_CLK_TCK")
        return 0.0

    def pause(self, sidecar: SidecarProcess) -> None:
        """Suspends the sidecar's process until `resume`."""
        if sidecar.process is not None:
            sidecar.process.send_signal(signal.SIGSTOP)

    def resume(self, sidecar: SidecarProcess) -> None:
        """Resumes the sidecar's process after `pause`."""
        if sidecar.process is not None:
            sidecar.process.send_signal(signal.SIGCONT)

    def start_flood(self, sidecar: SidecarProcess, datagrams_per_s: float) -> None:
        """Starts to flood the sidecar's membership address with datagrams until `stop_flood`."""
        self.stop_flood(sidecar)
        arguments = [
            *map(str, sidecar.membership_address),
            str(datagrams_per_s),
            str(self._folder / KEY_FILE),
        ]
        self._floods[sidecar.name] = subprocess.Popen(
            [sys.executable, "-m", "cressrail.testbed.flood", *arguments],
            cwd=self._checkout,
            stdin=subprocess.DEVNULL,
            env={**os.environ, "PYTHONPATH": str(self._checkout)},
        )

    def stop_flood(self, sidecar: SidecarProcess) -> None:
        """Ends the flood against the sidecar, if there is one."""
        if (process := self._floods.pop(sidecar.name, None)) is not None:
            process.kill()
            process.wait()

    def kill(self, sidecar: SidecarProcess) -> None:
        """Kills the sidecar's process and waits until it has ended."""
        if sidecar.process is not None:
            sidecar.process.kill()
            sidecar.process.wait()
            sidecar.process = None

    async def kill_all(self, sidecars: Sequence[SidecarProcess]) -> None:
        """Kills the processes of several sidecars and waits for all without blocking the event loop."""
        processes = [sidecar.process for sidecar in sidecars if sidecar.process is not None]
        for process in processes:
            process.kill()
        while any(process.poll() is None for process in processes):
            await asyncio.sleep(END_POLL_INTERVAL_S)
        for sidecar in sidecars:
            sidecar.process = None

    def close(self) -> None:
        """Terminates all processes, and kills those that do not end within `TERMINATION_TIMEOUT_S`."""
        for sidecar in self.sidecars:
            self.stop_flood(sidecar)
        for sidecar in self.sidecars:
            if sidecar.process is not None:
                self.resume(sidecar)  # a paused process does not handle SIGTERM
                sidecar.process.terminate()
        for sidecar in self.sidecars:
            if sidecar.process is not None:
                with suppress(subprocess.TimeoutExpired):
                    sidecar.process.wait(TERMINATION_TIMEOUT_S)
                self.kill(sidecar)

    def _write_configuration(
        self, sidecar: SidecarProcess, instance_count: int, seed: int, is_older: bool
    ) -> Path:
        path = self._folder / f"{sidecar.name}.json"
        configuration = build_configuration(self._scenario, sidecar, instance_count, seed)
        text = orjson.dumps(configuration | (OLDER_CONFIGURATION if is_older else {}))
        # Truncating a file may take long, which would delay the relay.
        if self._written_configurations.get(sidecar.name) != text:
            path.write_bytes(text)
            self._written_configurations[sidecar.name] = text
        return path

    def _program_arguments(self, configuration: Path) -> Sequence[str]:
        if self._policy == "own" and not self._defect:
            return ["-m", "cressrail", "serve", str(configuration)]
        variant = ["--policy", self._policy, "--break", self._defect]
        return ["-m", "cressrail.testbed.policy_variants", *variant, str(configuration)]

    def _environment(self) -> dict[str, str]:
        inherited = {name: value for name, value in os.environ.items() if not name.startswith("BALANCER_")}
        return {**inherited, "PYTHONPATH": str(self._checkout)}
