"""Types for the headers of requests and responses of any deployment.

Header names and formats differ between deployments. A ``Dialect`` converts
between the headers of one deployment and the types of this module, which the
rest of the program uses.
"""

import dataclasses
from collections.abc import Mapping
from typing import Protocol

from multidict import CIMultiDict

from hickorymux._internal.coordination.engines.prompts import Prompt


@dataclasses.dataclass(slots=True, frozen=True)
class RequestHeaders:
    """The decoded headers of a caller's request.

    ``key`` is the caller's API key. ``caller_timeout_seconds`` is how long
    the caller still waits for the response, ``None`` if unknown.
    ``last_event_id`` and ``first_request_id`` are set when the caller resumes
    a stream; the latter is the id of its request that brought the first event.
    ``prompt`` is ``None`` for a request without a prompt. Absent texts are
    empty.
    """

    request_id: str
    key: str
    caller_timeout_seconds: float | None
    last_event_id: str
    first_request_id: str
    prompt: Prompt | None

    @property
    def resumes_stream(self) -> bool:
        """Return whether the caller has the beginning of the stream."""
        return bool(self.first_request_id or self.last_event_id)


@dataclasses.dataclass(slots=True, frozen=True)
class RawRequestHead:
    """The headers of a request that decide whether and how it is refused.

    The fields are those of ``RequestHeaders``.
    """

    request_id: str
    key: str
    caller_timeout_seconds: float | None


@dataclasses.dataclass(slots=True, frozen=True)
class UpstreamLoad:
    """Requests at an upstream when it sent a response, and its slots.

    ``work_time`` is how long work takes on the upstream's host at that moment,
    relative to 1 as usual; ``None`` if the upstream doesn't state it.
    """

    running: int
    waiting: int
    slots: int
    work_time: float | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class ResponseHeaders:
    """The decoded headers of a response to an attempt.

    ``is_signed`` tells that the upstream itself made the response.
    ``is_not_run`` tells that the request was not executed and never will be;
    nothing else proves that. ``is_wrong_upstream`` tells that another
    upstream than the expected one listens at the address. ``request_limit`` is
    the rate in requests per second that the upstream takes from all routers
    together, ``None`` if it names none. ``invalid_limit`` is the text of a
    limit that can't be read. ``is_leaving`` tells that the upstream is about to
    leave. ``pause_seconds`` is how long it wants no request from this router,
    ``None`` if it did not say, and ``invalid_pause`` the text of a time that
    can't be read.
    """

    request_id: str
    is_signed: bool
    is_not_run: bool
    is_wrong_upstream: bool
    load: UpstreamLoad | None
    invalid_load: str = ''
    request_limit: float | None = None
    invalid_limit: str = ''
    is_leaving: bool = False
    pause_seconds: float | None = None
    invalid_pause: str = ''


class Dialect(Protocol):
    """Reads and writes the headers that one deployment uses."""

    def is_readiness_path(self, path: str) -> bool:
        """Return whether the load balancer checks readiness at this path."""

    def read_request_headers(
        self, headers: Mapping[str, str]
    ) -> RequestHeaders:
        """Return the decoded headers of a caller's request."""

    def read_raw_head(self, head: bytes) -> RawRequestHead:
        """Return what a refusal needs of a request that is not parsed.

        ``head`` has the bytes of the request line and the headers.
        """

    def read_response_headers(
        self,
        status: int,
        headers: Mapping[str, str],
    ) -> ResponseHeaders:
        """Return the decoded headers of an upstream's response."""

    def headers_to_upstream(
        self,
        headers: Mapping[str, str],
        host: str,
        customer: str | None,
    ) -> 'CIMultiDict[str]':
        """Return the headers of a request for an upstream at ``host``.

        They are the same for all attempts. ``customer`` is the customer's
        name, ``None`` if the route needs no key.
        """

    def set_attempt_headers(
        self,
        headers: 'CIMultiDict[str]',
        upstream_id: str,
        remaining_seconds: float,
        last_event_id: str,
        kv_source_address: str,
    ) -> None:
        """Set the headers that differ between the attempts of a request.

        ``kv_source_address`` is the engine that has parts of the prompt in
        its prefix cache, empty if there is nothing to copy.
        """

    def headers_to_caller(
        self,
        headers: Mapping[str, str],
    ) -> 'CIMultiDict[str]':
        """Return the upstream's headers that are forwarded to the caller."""

    def refusal_headers(
        self,
        request_id: str,
        retry_after_seconds: float | None,
    ) -> dict[str, str]:
        """Return the headers of an error response of this router."""
