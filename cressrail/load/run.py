"""Runs the load generator once and computes the figures of the run."""

from __future__ import annotations

import asyncio
import gc
import resource
import signal
import tempfile
import time
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from pathlib import Path

import uvloop

from cressrail.load.attempt_log import AttemptLog
from cressrail.load.figures import LoadFigures
from cressrail.load.histogram_log import write_histogram_log
from cressrail.load.plan import LoadPlan, RequestClassLoad
from cressrail.load.progress import show_progress
from cressrail.load.report import LoadReport
from cressrail.load.request_records import RequestRecordWriter
from cressrail.load.schedule import ScheduledRequest, draw_schedule
from cressrail.load.sender import Address, LoadSender
from cressrail.load.trace import UNSCALED, TraceScale, read_trace

SPARE_DESCRIPTORS = 64  # file descriptors for everything but connections
MAX_DESCRIPTORS = 1 << 20  # used if the system sets no hard limit


@dataclass(frozen=True)
class LoadJob:
    """A load run: its settings, its input and its output files.

    Attributes:
        plan: The settings of the run.
        targets: The addresses to which requests are sent.
        trace: A trace to replay instead of the plan's schedule, or None.
        trace_scale: The factors for the trace's times and rate.
        attempt_log: The file for one JSON line per attempt, or None for no log.
        records: The file for the request records, or None to delete them after the run.
        histogram_log: The file for latencies in the HdrHistogram format, or None for no log.
        start_us: The start of the run in microseconds on the monotonic clock, if other processes share it;
            None to start as soon as the sender is set up.
        is_quiet: Whether progress output is suppressed.
    """

    plan: LoadPlan
    targets: list[Address]
    trace: Path | None = None
    trace_scale: TraceScale = UNSCALED
    attempt_log: Path | None = None
    records: Path | None = None
    histogram_log: Path | None = None
    start_us: int | None = None
    is_quiet: bool = False


@dataclass
class NameTables:
    """Request classes and tenants by index, extended by those that occur only in a trace."""

    request_classes: list[RequestClassLoad]
    tenant_names: list[str]

    def read_trace_requests(self, path: Path, scale: TraceScale) -> Iterator[ScheduledRequest]:
        """Yields the requests of a trace.

        A request class that only the trace names gets the settings of the plan's first request class.
        """
        class_indices = {item.name: index for index, item in enumerate(self.request_classes)}
        tenant_indices = {name: index for index, name in enumerate(self.tenant_names)}
        for scheduled in read_trace(path, class_indices, tenant_indices, scale):
            for name in list(class_indices)[len(self.request_classes) :]:
                self.request_classes.append(self.request_classes[0].model_copy(update={"name": name}))
            self.tenant_names.extend(list(tenant_indices)[len(self.tenant_names) :])
            yield scheduled


def run_load(job: LoadJob) -> LoadReport:
    """Sends the load and returns its figures.

    Raises:
        MalformedTraceError: If the trace cannot be read; raised after all requests sent so far have ended.
    """
    plan = fit_connections_to_descriptors(job.plan)
    tables = NameTables(list(plan.request_classes), [tenant.name for tenant in plan.tenants])
    with tempfile.TemporaryDirectory() as folder:
        records_path = job.records or Path(folder) / "records"
        with RequestRecordWriter(records_path) as records:
            sender = uvloop.run(_send(job, plan, tables, records))
        class_names = [request_class.name for request_class in tables.request_classes]
        figures = LoadFigures(records_path, class_names, tables.tenant_names)
        report = figures.build_report(sender.stall_detector.pauses)
        if job.histogram_log is not None and report["refused"] is None:
            write_histogram_log(job.histogram_log, figures, time.time() - job.plan.duration_s)
    report["held_back"] = sender.queued_attempts
    report["surplus_bytes"] = sender.excess_bytes
    report["busy_us"] = sender.stall_detector.max_busy_us
    report["interrupted"] = sender.is_interrupted
    report["connections"] = sender.connections_opened
    report["start_us"] = sender.start_us
    if sender.schedule_error is not None:
        raise sender.schedule_error
    return report


def fit_connections_to_descriptors(plan: LoadPlan) -> LoadPlan:
    """Raises the file descriptor limit as needed and fits the plan's connections to it.

    Returns:
        The plan, with `max_connections` reduced if the hard limit allows fewer connections.
    """
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    allowed = hard if hard != resource.RLIM_INFINITY else MAX_DESCRIPTORS
    wanted = min(allowed, max(soft, plan.max_connections + SPARE_DESCRIPTORS))
    if wanted != soft:
        resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))
    max_connections = max(1, min(plan.max_connections, wanted - SPARE_DESCRIPTORS))
    return plan.model_copy(update={"max_connections": max_connections})


async def _send(job: LoadJob, plan: LoadPlan, tables: NameTables, records: RequestRecordWriter) -> LoadSender:
    if job.trace is None:
        schedule = draw_schedule(plan)
    else:
        schedule = tables.read_trace_requests(job.trace, job.trace_scale)
    with ExitStack() as stack:
        attempt_log = None
        if job.attempt_log is not None:
            attempt_log = AttemptLog(stack.enter_context(job.attempt_log.open("wb")))
        sender = LoadSender(
            plan, schedule, tables.request_classes, tables.tenant_names, job.targets, records, attempt_log
        )
        if job.start_us is not None:
            sender.start_us = job.start_us
        asyncio.get_running_loop().add_signal_handler(signal.SIGINT, sender.interrupt)
        stack.enter_context(_without_garbage_collection())
        stack.enter_context(show_progress(sender, job.plan.duration_s, is_quiet=job.is_quiet))
        await sender.run()
    return sender


@contextmanager
def _without_garbage_collection() -> Iterator[None]:
    """Disables garbage collection while the context is open.

    With thousands of open requests, even a collection of the youngest generation takes longer than a send may
    be late. The load generator creates no reference cycles, so memory use does not grow without it.
    """
    gc.collect()
    gc.freeze()
    gc.disable()
    try:
        yield
    finally:
        gc.enable()
        gc.unfreeze()
