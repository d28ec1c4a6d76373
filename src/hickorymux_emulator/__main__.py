"""Starts one stand-in: ``python -m hickorymux_emulator engine --port 0``."""

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
    """Run the log service.

    :param host: address to listen on
    :param port: port to listen on, 0 for any free one
    :param append_rate: appends a second that are taken, in all streams
    :param retain_seconds: age in seconds after which a record is dropped
    :param retain_records: newest records that a stream keeps
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
    """Run the host list.

    :param host: address to listen on
    :param port: port to listen on, 0 for any free one
    :param lag_seconds: seconds until a change of the list shows
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
    """Run a model engine.

    :param host: address to listen on
    :param port: port to listen on, 0 for any free one
    :param model: names of the models that are loaded at the start
    :param slots: requests that run at once when warm
    :param cold_slots: requests that it bears when cold
    :param cold_seconds: seconds from a start until it is warm, 0 for warm
    :param token_ms: milliseconds between two tokens of one answer
    :param resume_seconds: seconds that a run without a reader goes on
    :param load_lag_seconds: age in seconds of the load that is shown
    :param checks_fence: refuse orders with an old fencing number
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
    """Run a plain service.

    :param host: address to listen on
    :param port: port to listen on, 0 for any free one
    :param name: name that its answers carry
    :param slots: requests that it works on at once
    :param latency_ms: milliseconds from the effect of a request to its answer
    :param load_lag_seconds: age in seconds of the load that is shown
    """
    settings = ServiceSettings(
        name=name,
        slots=slots,
        latency_ms=latency_ms,
        load_lag_seconds=load_lag_seconds,
    )
    await serve(PlainService(settings).app(), host, port)


def main(arguments: list[str]) -> None:
    """Run the stand-in that the first argument names."""
    chosen = defopt.run(
        [log_service, host_list, engine, service],
        argv=arguments,
        no_negated_flags=True,
        intermixed=False,
    )
    asyncio.run(chosen)


if __name__ == '__main__':
    main(sys.argv[1:])
