"""What requests and answers say in their headers, whatever the names.

A ``Dialect`` reads and writes the headers of one deployment's wire; the rest
of the program knows only these types.
"""

import dataclasses
from collections.abc import Mapping
from typing import Protocol

from multidict import CIMultiDict

from hickorymux._internal.coordination.engines.prompts import Prompt


@dataclasses.dataclass(slots=True, frozen=True)
class RequestHeaders:
    """What a caller says of its request.

    ``caller_timeout_seconds`` is how long it will wait, ``None`` if it did not say.
    ``last_event_id`` is set where it goes on with a stream.
    """

    request_id: str
    key: str
    caller_timeout_seconds: float | None
    last_event_id: str
    prompt: Prompt | None


@dataclasses.dataclass(slots=True, frozen=True)
class UpstreamLoad:
    """How busy an upstream was when it sent an answer, in requests."""

    running: int
    waiting: int
    slots: int


@dataclasses.dataclass(slots=True, frozen=True)
class ResponseHeaders:
    """What an upstream says of its answer.

    ``is_not_run`` is its word that the request did not run and never will;
    nothing else proves that.
    """

    request_id: str
    is_signed: bool
    is_not_run: bool
    is_wrong_upstream: bool
    load: UpstreamLoad | None


class Dialect(Protocol):
    """Reads and writes the headers of a deployment."""

    def is_readiness_path(self, path: str) -> bool:
        """Return whether the balancer asks by this path."""

    def read_request_headers(
        self, headers: Mapping[str, str]
    ) -> RequestHeaders:
        """Return what a caller's headers say of its request."""

    def request_id_of(self, head: bytes) -> str:
        """Return the id in the head of a request, empty if it has none."""

    def read_response_headers(
        self,
        status: int,
        headers: Mapping[str, str],
    ) -> ResponseHeaders:
        """Return what an upstream's headers say of its answer."""

    def headers_to_upstream(
        self,
        headers: Mapping[str, str],
        host: str,
        customer: str | None,
    ) -> 'CIMultiDict[str]':
        """Return a caller's headers as an upstream may see them."""

    def set_attempt_headers(
        self,
        headers: 'CIMultiDict[str]',
        upstream_id: str,
        remaining_seconds: float,
        last_event_id: str,
        fetch_from: str,
    ) -> None:
        """Set what differs from one attempt of a request to the next."""

    def headers_to_caller(
        self,
        headers: Mapping[str, str],
    ) -> 'CIMultiDict[str]':
        """Return an upstream's headers as the caller may see them."""

    def refusal_headers(
        self,
        request_id: str,
        retry_after_seconds: float | None,
    ) -> dict[str, str]:
        """Return the headers of an answer that this router makes itself."""
