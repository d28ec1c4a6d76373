"""Starts one emulator: ``python -m hickorymux_emulator engine --port 0``."""

import asyncio
import sys

import defopt

from hickorymux_emulator.engine import EngineSettings
from hickorymux_emulator.engine_service import EngineService
from hickorymux_emulator.host_list import HostList
from hickorymux_emulator.log_service import LogService, LogSettings
from hickorymux_emulator.plain_service import PlainService, ServiceSettings
from hickorymux_emulator.serving import serve


async def log_service(
    *,
    host: str = '127.0.0.1',
    port: int = 0,
    append_rate: float = 300,
    retain_seconds: float = 3600,
    retain_records: int = 100_000,
) -> None:
    """Emulate the platform's log service.

    :param host: address to listen on
    :param port: port to listen on, 0 for any free one
    :param append_rate: appends accepted per second, over all streams
    :param retain_seconds: seconds after which an appended record is dropped
    :param retain_records: number of newest records kept per stream
    """
    settings = LogSettings(
        append_rate=append_rate,
        retain_seconds=retain_seconds,
        retain_records=retain_records,
    )
    await serve(LogService(settings).app(), host, port)


async def host_list(
    *,
    host: str = '127.0.0.1',
    port: int = 0,
    lag_seconds: float = 0,
) -> None:
    """Emulate the platform's list of hosts.

    :param host: address to listen on
    :param port: port to listen on, 0 for any free one
    :param lag_seconds: seconds until a change of the list becomes visible
    """
    await serve(HostList(lag_seconds).app(), host, port)


async def engine(
    *,
    host: str = '127.0.0.1',
    port: int = 0,
    model: list[str] | None = None,
    slots: int = 8,
    cold_slots: int = 1,
    cold_seconds: float = 0,
    token_ms: float = 10,
    resume_seconds: float = 5,
    load_lag_seconds: float = 1,
    checks_fence: bool = False,
) -> None:
    """Emulate a model engine.

    :param host: address to listen on
    :param port: port to listen on, 0 for any free one
    :param model: names of the models loaded at the start
    :param slots: requests that a warm engine runs concurrently
    :param cold_slots: requests that a cold engine accepts before it crashes
    :param cold_seconds: seconds from a start or crash until the engine is
        warm, 0 to start warm
    :param token_ms: milliseconds between two tokens of an answer
    :param resume_seconds: seconds until a run without a reader is cancelled
    :param load_lag_seconds: age in seconds of the reported load
    :param checks_fence: refuse orders whose fencing token is older than the
        newest one seen
    """
    settings = EngineSettings(
        slots=slots,
        cold_slots=cold_slots,
        cold_seconds=cold_seconds,
        token_ms=token_ms,
        resume_seconds=resume_seconds,
        load_lag_seconds=load_lag_seconds,
        models=list(model or ['default']),
        checks_fence=checks_fence,
    )
    app = EngineService(settings).app()
    await serve(app, host, port, cancel_handlers=True)


async def service(
    *,
    host: str = '127.0.0.1',
    port: int = 0,
    name: str = 'service',
    slots: int = 16,
    latency_ms: float = 5,
    load_lag_seconds: float = 1,
) -> None:
    """Emulate a plain HTTP service.

    :param host: address to listen on
    :param port: port to listen on, 0 for any free one
    :param name: service name that the answers contain
    :param slots: requests that the service handles concurrently
    :param latency_ms: milliseconds from executing a request to answering it
    :param load_lag_seconds: age in seconds of the reported load
    """
    settings = ServiceSettings(
        name=name,
        slots=slots,
        latency_ms=latency_ms,
        load_lag_seconds=load_lag_seconds,
    )
    await serve(PlainService(settings).app(), host, port)


def main(arguments: list[str]) -> None:
    """Run the emulator that the first argument names."""
    chosen = defopt.run(
        [log_service, host_list, engine, service],
        argv=arguments,
        no_negated_flags=True,
        intermixed=False,
    )
    asyncio.run(chosen)


if __name__ == '__main__':
    main(sys.argv[1:])
